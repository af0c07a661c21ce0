namespace galenabay::daemon
{
}
