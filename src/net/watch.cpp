#include "net/watch.h"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <spdlog/spdlog.h>

namespace shorelead::net {
namespace {

using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

constexpr Millis kRetryInterval = 1;  // after a registration failed for lack of memory

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
  // POCO (1.11) polls for the events of a removed observer until the last observer of the socket is removed,
  // and the reactor would spin. So all are removed, and those still wanted are added again.
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
    // The system had no memory for the registration. Retried here, so that the owner need not handle it.
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
  // Removing fails for a handler whose registration had failed.
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
