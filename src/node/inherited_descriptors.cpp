#include "node/inherited_descriptors.h"

#include <fcntl.h>
#include <unistd.h>

#include <limits>

namespace shorelead::node {

void reset_inherited_descriptors() {
  for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
    if (::fcntl(descriptor, F_GETFD) < 0) (void)::open("/dev/null", O_RDWR);  // takes the lowest free number
  }
  ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
}

}  // namespace shorelead::node
