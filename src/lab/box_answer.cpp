#include "lab/box_answer.h"

#include <algorithm>

#include "lab/stand_ins.h"

namespace shorelead::lab {
namespace {

constexpr Millis kDripEvery = 10;  // a byte each
constexpr std::size_t kEndlessPart = 4096;
constexpr std::size_t kEndlessMost = 4U << 20;

void whole(const std::shared_ptr<Wire>& wire, World& world, std::size_t line, const std::string& text) {
  world.ledger[line].answered = clock_now();
  wire->write(text, [wire] { wire->next(); });
}

void drip(const std::shared_ptr<Wire>& wire, World& world, std::size_t line, const std::string& text,
          std::size_t at) {
  if (at >= text.size()) {
    world.ledger[line].answered = clock_now();
    return wire->next();
  }
  wire->write(text.substr(at, 1), [wire, &world, line, text, at] {
    wire->wait(kDripEvery, [wire, &world, line, text, at] { drip(wire, world, line, text, at + 1); });
  });
}

void endless(const std::shared_ptr<Wire>& wire, World& world, const std::string& text, std::size_t so_far) {
  if (so_far > kEndlessMost) return wire->shut();
  wire->write(text, [wire, &world, size = so_far + text.size()] {
    std::string more;
    while (more.size() < kEndlessPart) more += "X-More: " + world.faults.hex(48) + "\r\n";
    endless(wire, world, more, size);
  });
}

}  // namespace

void pass_answer(const std::shared_ptr<Wire>& wire, World& world, std::size_t line, const std::string& text,
                 const std::string& fault, std::size_t bytes) {
  if (fault.empty()) return whole(wire, world, line, text);
  if (fault == "second") return whole(wire, world, line, text + text);
  if (fault == "interim") {
    return whole(wire, world, line, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + text);
  }
  if (fault == "drip") return drip(wire, world, line, text, 0);
  world.ledger[line].end = BoxEnd::kSpoilt;
  if (fault == "noise") {
    std::string noise = world.faults.hex(200);
    for (std::size_t n = 0; n < noise.size(); n += 7) noise[n] = static_cast<char>(128 + n);
    return wire->write(noise + "\r\n\r\n", [] {});  // the connection stays open and is of no further use
  }
  if (fault == "endless") return endless(wire, world, "HTTP/1.1 200 OK\r\n", 0);
  const std::string part = text.substr(0, std::min(bytes, text.size() - 1));
  if (fault == "reset") {
    if (part.empty()) return wire->reset();
    return wire->write(part, [wire] { wire->reset(); });
  }
  if (part.empty()) return wire->shut();
  wire->write(part, [wire] { wire->shut(); });  // truncate
}

}  // namespace shorelead::lab
