namespace galenabay::membership
{
}
