// The schema as a page for people (Markdown) and as JSON for editors. Owns the form of both; it must never
// say anything of a field that the schema does not.
#pragma once

#include <string>

namespace shorelead::language {

std::string reference_page();
// {"version":1,"blocks":[{"name","within","named","once","means","fields":[{"name","type","required","words",
// "least","most","means"}]}]}; least and most in the schema's units: ms, a second, 0 to 1, bytes.
std::string reference_json();

}  // namespace shorelead::language
