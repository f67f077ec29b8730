// Descriptors that this process has from the program that started it.
#pragma once

namespace shorelead::node {

// Opens /dev/null for each standard stream that is closed, so that no connection takes its number and log
// lines go nowhere else; closes all other descriptors, which count to the limit of this process. Called
// before anything is opened.
void reset_inherited_descriptors();

}  // namespace shorelead::node
