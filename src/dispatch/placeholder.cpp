namespace galenabay::dispatch
{
}
