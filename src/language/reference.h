// Prints the schema as a page for people (Markdown) and as JSON for editors. Both contain only what the
// schema says.
#pragma once

#include <string>

namespace shorelead::language {

std::string reference_page();
// {"version":1,"blocks":[{"name","within","named","once","means","fields":[{"name","type","required","words",
// "least","most","means"}]}]}; least and most are in the schema's units: ms, per second, 0 to 1, bytes.
std::string reference_json();

}  // namespace shorelead::language
