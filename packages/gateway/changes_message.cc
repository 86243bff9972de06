#include "gateway/changes_message.h"

#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/msgpack_depth.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Array positions in the message and in each of its events.
enum MessagePosition { kPosSnapshot, kPosKnownUpTo, kPosEvents, kMessageSize };
enum EventPosition {
  kPosKey,
  kPosRevision,
  kPosLease,
  kPosRemoved,
  kPosValue,
  kEventSize,
};

bool IsEvent(const json& event) {
  return event.is_array() && event.size() == kEventSize &&
         event[kPosKey].is_string() &&
         event[kPosRevision].is_number_integer() &&
         event[kPosLease].is_number_integer() &&
         event[kPosRemoved].is_boolean() && event[kPosValue].is_binary();
}

}  // namespace

std::string EncodeChanges(const KvChanges& changes) {
  json events = json::array();
  for (const KvEvent& event : changes.m_events) {
    // A value may contain arbitrary bytes, so it is encoded as binary.
    const std::string& value = event.m_item.m_value;
    events.push_back(json::array(
        {event.m_item.m_key, event.m_item.m_revision, event.m_item.m_lease,
         event.m_removed,
         json::binary(std::vector<uint8_t>(value.begin(), value.end()))}));
  }
  const json message = json::array(
      {changes.m_is_snapshot, changes.m_known_up_to, std::move(events)});
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

std::optional<KvChanges> DecodeChanges(std::string_view bytes) {
  if (!HasMsgpackDepthWithin(bytes)) {
    return std::nullopt;
  }
  const json message = json::from_msgpack(bytes, true, false);
  if (!message.is_array() || message.size() != kMessageSize ||
      !message[kPosSnapshot].is_boolean() ||
      !message[kPosKnownUpTo].is_number_integer() ||
      !message[kPosEvents].is_array()) {
    return std::nullopt;
  }
  KvChanges changes;
  changes.m_is_snapshot = message[kPosSnapshot].get<bool>();
  changes.m_known_up_to = message[kPosKnownUpTo].get<int64_t>();
  for (const json& encoded : message[kPosEvents]) {
    if (!IsEvent(encoded)) {
      return std::nullopt;
    }
    KvEvent event;
    event.m_item.m_key = encoded[kPosKey].get<std::string>();
    event.m_item.m_revision = encoded[kPosRevision].get<int64_t>();
    event.m_item.m_lease = encoded[kPosLease].get<int64_t>();
    event.m_removed = encoded[kPosRemoved].get<bool>();
    const std::vector<uint8_t>& value = encoded[kPosValue].get_binary();
    event.m_item.m_value.assign(value.begin(), value.end());
    changes.m_events.push_back(std::move(event));
  }
  return changes;
}

}  // namespace bronzecross
