// Compiles the logging library once, without the project's warning flags.
#include <easylogging++.cc>
