#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "node/endpoint_list.h"

namespace shorelead::node {

std::string list_text(const std::vector<ListedBackend>& all) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
  const auto text = [&out](const char* key, const std::string& value) {
    out.Key(key);
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  out.StartObject();
  out.Key("seq");
  out.Uint64(0);  // makes discovery send the whole list next
  out.Key("whole");
  out.Bool(true);
  out.Key("hosts");
  out.StartArray();
  for (const ListedBackend& listed : all) {
    out.StartObject();
    text("host", listed.host);
    text("dial", listed.dial);
    text("site", listed.site);
    text("health", listed.health);
    out.Key("block");
    out.Int(listed.cell);
    out.Key("share");
    out.Double(listed.size);
    out.Key("born_ms");
    out.Double(listed.started);
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
  return buffer.GetString();
}

}  // namespace shorelead::node
