namespace galenabay::platform
{
}
