#pragma once

#include <galenabay/inspect/fleet_report.hpp>

#include <string>
#include <vector>

namespace galenabay::inspect
{

/// Returns the text with which the lines about a host begin.
std::string label_of(const host_answer& host);
/// Returns the cause of a failure in brackets.
std::string describe_failure(const base::error& failure);
/// Appends a line for each upstream with its relative answer time on all hosts, and one for each host that did not
/// give its estimates or left some out.
void add_answer_times(const std::vector<host_answer>& hosts, std::vector<std::string>& lines);

} // namespace galenabay::inspect
