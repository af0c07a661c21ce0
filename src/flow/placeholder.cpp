namespace galenabay::flow
{
}
