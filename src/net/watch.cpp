#include "net/watch.h"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <spdlog/spdlog.h>

namespace shorelead::net {
namespace {

using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

constexpr Millis kRetryInterval = 1;  // after which a socket is enrolled again for which there was no memory

template <typename Notification>
Poco::NObserver<Watch, Notification> observer(Watch& owner,
                                              void (Watch::*method)(const Poco::AutoPtr<Notification>&)) {
  return Poco::NObserver<Watch, Notification>(owner, method);
}

}  // namespace

Watch::Watch(Loop& loop, const Poco::Net::Socket& socket, Handler& handler, bool reading, bool writing)
    : loop_(loop), socket_(socket), handler_(handler) {
  register_socket(reading, writing);
}

Watch::~Watch() { unregister_socket(); }

void Watch::want_read(bool wanted) {
  if (wanted == reading_) return;
  unregister_socket();
  register_socket(wanted, writing_);
}

void Watch::want_write(bool wanted) {
  if (wanted == writing_) return;
  // Guards against a spinning reactor: POCO (1.11) goes on polling for what a removed observer wanted until
  // the socket's last one is removed, so all of them go and those still wanted come back.
  unregister_socket();
  register_socket(reading_, wanted);
}

void Watch::register_socket(bool reading, bool writing) {
  reading_ = reading;
  writing_ = writing;
  loop_.cancel(retry_);
  try {
    set_handlers();
  } catch (const Poco::Exception& error) {
    // The system had no memory for one more socket to watch. It will: whoever owns this must not notice.
    spdlog::warn("a socket cannot be watched now: {}", error.displayText());
    retry_ = loop_.after(kRetryInterval, [this] {
      retry_ = 0;
      register_socket(reading_, writing_);
    });
  }
}

void Watch::set_handlers() {
  loop_.addEventHandler(socket_, observer(*this, &Watch::error));
  if (reading_) loop_.addEventHandler(socket_, observer(*this, &Watch::readable));
  if (writing_) loop_.addEventHandler(socket_, observer(*this, &Watch::writable));
}

void Watch::unregister_socket() {
  loop_.cancel(retry_);
  // One that could not be enrolled is not there to be removed.
  const auto remove = [this](const auto& handler) {
    try {
      loop_.removeEventHandler(socket_, handler);
    } catch (const Poco::Exception& error) {
      spdlog::debug("a socket was not watched: {}", error.displayText());
    }
  };
  remove(observer(*this, &Watch::readable));
  remove(observer(*this, &Watch::writable));
  remove(observer(*this, &Watch::error));
}

void Watch::readable(const Poco::AutoPtr<ReadableNotification>&) {
  loop_.run_handler([this] { handler_.on_readable(); });
}

void Watch::writable(const Poco::AutoPtr<WritableNotification>&) {
  loop_.run_handler([this] { handler_.on_writable(); });
}

void Watch::error(const Poco::AutoPtr<ErrorNotification>&) {
  loop_.run_handler([this] { handler_.on_error(); });
}

}  // namespace shorelead::net
