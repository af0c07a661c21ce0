namespace galenabay::wire
{
}
