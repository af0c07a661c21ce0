namespace galenabay::revision
{
}
