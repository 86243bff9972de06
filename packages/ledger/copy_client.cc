#include "ledger/copy_client.h"

#include <nlohmann/json.hpp>

#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

template <typename Parser>
auto ParseReply(const Result<json>& reply, Parser parser)
    -> Result<decltype(parser(*reply))> {
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  try {
    return parser(*reply);
  } catch (const json::exception&) {
    return FailMayHaveRun(ResultCode::kPeerUnavailable,
                          "cannot parse the reply of a ledger copy");
  }
}

CopyState ParseState(const json& reply) {
  return CopyState{reply.at("present"), reply.at("damaged"), reply.at("next")};
}

json EncodeState(const CopyState& state) {
  return {{"present", state.m_present},
          {"damaged", state.m_damaged},
          {"next", state.m_next}};
}

Result<json> HandleAppend(CopyStore& store, const json& message) {
  CopyAppend append;
  append.m_ledger = message.at("ledger").get_ref<const std::string&>();
  append.m_segment = message.at("segment");
  append.m_segment_first = message.at("segment_first");
  append.m_epoch = message.at("epoch");
  append.m_first = message.at("first");
  append.m_bytes = message.at("bytes").get_ref<const std::string&>();
  const Result<uint64_t> next = store.Append(append);
  return next ? Result<json>(json{{"next", *next}})
              : tl::unexpected<Error>(next.error());
}

Result<json> HandleFence(CopyStore& store, const json& message) {
  const Result<CopyState> state =
      store.Fence(message.at("ledger").get_ref<const std::string&>(),
                  message.at("epoch"), message.at("segment"));
  return state ? Result<json>(EncodeState(*state))
               : tl::unexpected<Error>(state.error());
}

Result<json> HandleRead(CopyStore& store, const json& message) {
  const std::string& ledger =
      message.at("ledger").get_ref<const std::string&>();
  const size_t max_bytes = message.at("max_bytes");
  if (max_bytes == 0) {
    return EncodeState(store.State(ledger, message.at("segment")));
  }
  Result<CopyChunk> chunk =
      store.Read(ledger, message.at("segment"), message.at("first"), max_bytes);
  return chunk ? Result<json>(json{{"bytes", std::move(chunk->m_bytes)},
                                   {"next", chunk->m_next}})
               : tl::unexpected<Error>(chunk.error());
}

Result<json> HandleDrop(CopyStore& store, const json& message) {
  store.Drop(message.at("ledger").get_ref<const std::string&>());
  return json::object();
}

}  // namespace

void RegisterCopyMethods(PeerServer& server, CopyStore* store) {
  using Handler = Result<json> (*)(CopyStore&, const json&);
  const std::pair<const char*, Handler> methods[] = {
      {"ledger.append", HandleAppend},
      {"ledger.fence", HandleFence},
      {"ledger.read", HandleRead},
      {"ledger.drop", HandleDrop}};
  for (const auto& [name, handler] : methods) {
    server.Register(
        name, PeerDispatch::kOnDiskWorker,
        [store, handler = handler](std::string_view body,
                                   Millis) -> Result<std::string> {
          if (store == nullptr) {
            return Fail(ResultCode::kNotFound,
                        "this VM stores no ledger copies");
          }
          const Result<json> message = DecodeMessage(body);
          if (!message) {
            return tl::unexpected<Error>(message.error());
          }
          try {
            const Result<json> reply = handler(*store, *message);
            return reply ? Result<std::string>(EncodeMessage(*reply))
                         : tl::unexpected<Error>(reply.error());
          } catch (const json::exception&) {
            return Fail(ResultCode::kMalformedBody,
                        "a field of the ledger message is missing or invalid");
          }
        });
  }
}

Result<uint64_t> CopyClient::Append(std::string_view vm,
                                    const CopyAppend& append) {
  return ParseReply(
      m_membership.Call(vm, "ledger.append",
                        {{"ledger", append.m_ledger},
                         {"segment", append.m_segment},
                         {"segment_first", append.m_segment_first},
                         {"epoch", append.m_epoch},
                         {"first", append.m_first},
                         {"bytes", append.m_bytes}},
                        m_timeout),
      [](const json& reply) { return reply.at("next").get<uint64_t>(); });
}

Result<CopyState> CopyClient::Fence(std::string_view vm,
                                    std::string_view ledger,
                                    uint64_t epoch,
                                    uint64_t segment) {
  return ParseReply(
      m_membership.Call(
          vm, "ledger.fence",
          {{"ledger", ledger}, {"epoch", epoch}, {"segment", segment}},
          m_timeout),
      ParseState);
}

Result<CopyChunk> CopyClient::Read(std::string_view vm,
                                   std::string_view ledger,
                                   uint64_t segment,
                                   uint64_t first,
                                   size_t max_bytes) {
  return ParseReply(m_membership.Call(vm, "ledger.read",
                                      {{"ledger", ledger},
                                       {"segment", segment},
                                       {"first", first},
                                       {"max_bytes", max_bytes}},
                                      m_timeout),
                    [](const json& reply) {
                      return CopyChunk{reply.at("bytes").get<std::string>(),
                                       reply.at("next").get<uint64_t>()};
                    });
}

Result<CopyState> CopyClient::State(std::string_view vm,
                                    std::string_view ledger,
                                    uint64_t segment) {
  return ParseReply(m_membership.Call(vm, "ledger.read",
                                      {{"ledger", ledger},
                                       {"segment", segment},
                                       {"first", 0},
                                       {"max_bytes", 0}},
                                      m_timeout),
                    ParseState);
}

void CopyClient::Drop(std::string_view vm, std::string_view ledger) {
  const Result<json> ignored =
      m_membership.Call(vm, "ledger.drop", {{"ledger", ledger}}, m_timeout);
  static_cast<void>(ignored);
}

}  // namespace bronzecross
