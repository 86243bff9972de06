#include "peers/message.h"

#include <nlohmann/json.hpp>

#include "base/msgpack_depth.h"

namespace bronzecross {

std::string EncodeMessage(const nlohmann::json& message) {
  std::string bytes;
  nlohmann::json::to_msgpack(message, bytes);
  return bytes;
}

Result<nlohmann::json> DecodeMessage(std::string_view bytes) {
  if (!HasMsgpackDepthWithin(bytes)) {
    return Fail(ResultCode::kMalformedBody,
                "the peer message is nested too deeply");
  }
  nlohmann::json message =
      nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (message.is_discarded()) {
    return Fail(ResultCode::kMalformedBody,
                "the peer message is not valid MessagePack");
  }
  return message;
}

}  // namespace bronzecross
