#include "../yaml_warm_up.hpp"

#include <platform/settings.hpp>

namespace
{

bool warm_up()
{
    galenabay::test::warm_up_yaml([](const std::string& text)
                                  { static_cast<void>(galenabay::adapter::parse_settings(text, "")); });
    return true;
}

[[maybe_unused]] const bool warmed_up = warm_up();

} // namespace
