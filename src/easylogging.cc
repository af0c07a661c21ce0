// Compiles the logging library once, apart from the project's warning flags.
#include <easylogging++.cc>
