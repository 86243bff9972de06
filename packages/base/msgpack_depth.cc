#include "base/msgpack_depth.h"

#include <cstdint>
#include <vector>

namespace bronzecross {
namespace {

// One value of a message: how many bytes follow its type byte, and how many
// values it contains.
struct ValueShape {
  uint64_t m_bytes = 0;
  uint64_t m_children = 0;
  bool m_is_container = false;
};

// Reads a big-endian number of `width` bytes at `at`; zero if they are missing.
uint64_t ReadNumber(std::string_view bytes, size_t at, size_t width) {
  if (at + width > bytes.size()) {
    return 0;
  }
  uint64_t value = 0;
  for (size_t i = 0; i < width; ++i) {
    value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  }
  return value;
}

// Returns the shape of the value whose type byte is at `at`.
ValueShape GetShape(std::string_view bytes, size_t at) {
  const unsigned type = static_cast<unsigned char>(bytes[at]);
  const size_t next = at + 1;
  if (type <= 0x7f || type >= 0xe0 || (type >= 0xc0 && type <= 0xc3)) {
    return {};
  }
  if (type <= 0x8f) {
    return {0, 2 * (type & 0x0f), true};
  }
  if (type <= 0x9f) {
    return {0, type & 0x0f, true};
  }
  if (type <= 0xbf) {
    return {type & 0x1f, 0, false};
  }
  switch (type) {
    case 0xc4:
    case 0xd9:
      return {1 + ReadNumber(bytes, next, 1), 0, false};
    case 0xc5:
    case 0xda:
      return {2 + ReadNumber(bytes, next, 2), 0, false};
    case 0xc6:
    case 0xdb:
      return {4 + ReadNumber(bytes, next, 4), 0, false};
    case 0xc7:
      return {2 + ReadNumber(bytes, next, 1), 0, false};
    case 0xc8:
      return {3 + ReadNumber(bytes, next, 2), 0, false};
    case 0xc9:
      return {5 + ReadNumber(bytes, next, 4), 0, false};
    case 0xcc:
    case 0xd0:
      return {1, 0, false};
    case 0xcd:
    case 0xd1:
    case 0xd4:
      return {2, 0, false};
    case 0xca:
    case 0xce:
    case 0xd2:
      return {4, 0, false};
    case 0xcb:
    case 0xcf:
    case 0xd3:
      return {8, 0, false};
    case 0xd5:
      return {3, 0, false};
    case 0xd6:
      return {5, 0, false};
    case 0xd7:
      return {9, 0, false};
    case 0xd8:
      return {17, 0, false};
    case 0xdc:
      return {2, ReadNumber(bytes, next, 2), true};
    case 0xdd:
      return {4, ReadNumber(bytes, next, 4), true};
    case 0xde:
      return {2, 2 * ReadNumber(bytes, next, 2), true};
    default:  // 0xdf
      return {4, 2 * ReadNumber(bytes, next, 4), true};
  }
}

}  // namespace

bool HasMsgpackDepthWithin(std::string_view bytes, size_t max_depth) {
  // Values left in each open container.
  std::vector<uint64_t> open;
  uint64_t at = 0;
  while (at < bytes.size()) {
    const ValueShape shape = GetShape(bytes, static_cast<size_t>(at));
    at += 1 + shape.m_bytes;
    if (!open.empty()) {
      --open.back();
    }
    if (shape.m_is_container && shape.m_children > 0) {
      open.push_back(shape.m_children);
      if (open.size() > max_depth) {
        return false;
      }
    }
    while (!open.empty() && open.back() == 0) {
      open.pop_back();
    }
    if (open.empty()) {
      return true;  // the message is complete
    }
  }
  return true;
}

}  // namespace bronzecross
