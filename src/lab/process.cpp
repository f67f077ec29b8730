#include "lab/process.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>

extern char** environ;

namespace shorelead::lab {
namespace {

int code_of(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status); }

}  // namespace

std::string Process::start(const std::vector<std::string>& command, std::vector<std::string> environment,
                           const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  std::vector<char*> variables;
  for (std::string& variable : environment) variables.push_back(variable.data());
  variables.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid < 0) return std::string("cannot start a process: ") + std::strerror(errno);
  if (pid == 0) {
    // Only what is safe between fork and exec. A node must not outlive a lab that is killed; and it must not
    // hold the stand-ins' listeners open, or a box that died would go on taking connections.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int in = ::open("/dev/null", O_RDONLY);
    ::dup2(in, 0);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0U, 0);
    ::execvpe(arguments[0], arguments.data(), variables.data());
    static const char kCannot[] = "the program cannot be started\n";
    const ssize_t unused = ::write(2, kCannot, sizeof kCannot - 1);
    ::_exit(unused >= 0 ? 127 : 126);
  }
  pid_ = pid;
  return "";
}

void Process::signal(int number) const {
  if (up()) ::kill(pid_, number);
}

std::optional<int> Process::ended() {
  int status = 0;
  if (!up() || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  return code_of(status);
}

int Process::kill() {
  if (!up()) return 0;
  int status = 0;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status, 0);
  pid_ = 0;
  return code_of(status);
}

double Process::memory_kb() const {
  static const char kField[] = "VmRSS:";
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(kField, 0) == 0) return std::strtod(line.c_str() + sizeof kField, nullptr);
  }
  return 0;
}

int Process::descriptors() const {
  DIR* const folder = ::opendir(("/proc/" + std::to_string(pid_) + "/fd").c_str());
  if (folder == nullptr) return 0;
  int count = 0;
  while (const dirent* const entry = ::readdir(folder)) count += entry->d_name[0] != '.';
  ::closedir(folder);
  return count;
}

Millis Process::cpu() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::size_t after = text.rfind(')');
  if (after == std::string::npos) return 0;
  unsigned long user = 0;
  unsigned long system = 0;
  if (std::sscanf(text.c_str() + after + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                  &system) != 2) {
    return 0;
  }
  return static_cast<double>(user + system) * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::vector<std::string> environment_without(const char* prefix) {
  std::vector<std::string> kept;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    if (std::strncmp(*variable, prefix, std::strlen(prefix)) != 0) kept.emplace_back(*variable);
  }
  return kept;
}

}  // namespace shorelead::lab
