namespace galenabay::config
{
}
