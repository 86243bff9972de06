#include "ledger/copy_peers.h"

#include <nlohmann/json.hpp>

#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

template <typename Reader>
auto ReadAnswer(const Result<json>& answer, Reader reader)
    -> Result<decltype(reader(*answer))> {
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  try {
    return reader(*answer);
  } catch (const json::exception&) {
    return FailMayHaveRun(ResultCode::kPeerUnavailable,
                          "a copy's answer is not understood");
  }
}

CopyState ReadState(const json& answer) {
  return CopyState{answer.at("present"), answer.at("damaged"),
                   answer.at("next")};
}

json StateMessage(const CopyState& state) {
  return {{"present", state.m_present},
          {"damaged", state.m_damaged},
          {"next", state.m_next}};
}

Result<json> TakeAppend(CopyStore& store, const json& message) {
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

Result<json> TakeFence(CopyStore& store, const json& message) {
  const Result<CopyState> state =
      store.Fence(message.at("ledger").get_ref<const std::string&>(),
                  message.at("epoch"), message.at("segment"));
  return state ? Result<json>(StateMessage(*state))
               : tl::unexpected<Error>(state.error());
}

Result<json> TakeRead(CopyStore& store, const json& message) {
  const std::string& ledger =
      message.at("ledger").get_ref<const std::string&>();
  const size_t max_bytes = message.at("max_bytes");
  if (max_bytes == 0) {
    return StateMessage(store.State(ledger, message.at("segment")));
  }
  Result<CopyChunk> chunk =
      store.Read(ledger, message.at("segment"), message.at("first"), max_bytes);
  return chunk ? Result<json>(json{{"bytes", std::move(chunk->m_bytes)},
                                   {"next", chunk->m_next}})
               : tl::unexpected<Error>(chunk.error());
}

Result<json> TakeDrop(CopyStore& store, const json& message) {
  store.Drop(message.at("ledger").get_ref<const std::string&>());
  return json::object();
}

}  // namespace

void RegisterCopyMethods(PeerServer& server, CopyStore* store) {
  using Taker = Result<json> (*)(CopyStore&, const json&);
  const std::pair<const char*, Taker> methods[] = {
      {"ledger.append", TakeAppend},
      {"ledger.fence", TakeFence},
      {"ledger.read", TakeRead},
      {"ledger.drop", TakeDrop}};
  for (const auto& [name, taker] : methods) {
    server.Register(
        name, PeerDispatch::kOnDisk,
        [store, taker = taker](std::string_view body,
                               Millis) -> Result<std::string> {
          if (store == nullptr) {
            return Fail(ResultCode::kNotFound, "this VM holds no copies");
          }
          const Result<json> message = DecodeMessage(body);
          if (!message) {
            return tl::unexpected<Error>(message.error());
          }
          try {
            const Result<json> answer = taker(*store, *message);
            return answer ? Result<std::string>(EncodeMessage(*answer))
                          : tl::unexpected<Error>(answer.error());
          } catch (const json::exception&) {
            return Fail(ResultCode::kMalformedBody,
                        "the ledger message lacks a field");
          }
        });
  }
}

Result<uint64_t> CopyPeers::Append(std::string_view vm,
                                   const CopyAppend& append) {
  return ReadAnswer(
      m_membership.Call(vm, "ledger.append",
                        {{"ledger", append.m_ledger},
                         {"segment", append.m_segment},
                         {"segment_first", append.m_segment_first},
                         {"epoch", append.m_epoch},
                         {"first", append.m_first},
                         {"bytes", append.m_bytes}},
                        m_timeout),
      [](const json& answer) { return answer.at("next").get<uint64_t>(); });
}

Result<CopyState> CopyPeers::Fence(std::string_view vm,
                                   std::string_view ledger,
                                   uint64_t epoch,
                                   uint64_t segment) {
  return ReadAnswer(
      m_membership.Call(
          vm, "ledger.fence",
          {{"ledger", ledger}, {"epoch", epoch}, {"segment", segment}},
          m_timeout),
      ReadState);
}

Result<CopyChunk> CopyPeers::Read(std::string_view vm,
                                  std::string_view ledger,
                                  uint64_t segment,
                                  uint64_t first,
                                  size_t max_bytes) {
  return ReadAnswer(m_membership.Call(vm, "ledger.read",
                                      {{"ledger", ledger},
                                       {"segment", segment},
                                       {"first", first},
                                       {"max_bytes", max_bytes}},
                                      m_timeout),
                    [](const json& answer) {
                      return CopyChunk{answer.at("bytes").get<std::string>(),
                                       answer.at("next").get<uint64_t>()};
                    });
}

Result<CopyState> CopyPeers::State(std::string_view vm,
                                   std::string_view ledger,
                                   uint64_t segment) {
  return ReadAnswer(m_membership.Call(vm, "ledger.read",
                                      {{"ledger", ledger},
                                       {"segment", segment},
                                       {"first", 0},
                                       {"max_bytes", 0}},
                                      m_timeout),
                    ReadState);
}

void CopyPeers::Drop(std::string_view vm, std::string_view ledger) {
  const Result<json> ignored =
      m_membership.Call(vm, "ledger.drop", {{"ledger", ledger}}, m_timeout);
  static_cast<void>(ignored);
}

}  // namespace bronzecross
