#include "aio/connection_table.h"

namespace bronzecross {

ConnectionTable::Entry::Entry(ConnectionTable& table, TcpStream& stream)
    : m_table(table), m_stream(stream), m_position(table.m_closable.end()) {
  ++m_table.m_size;
}

ConnectionTable::Entry::~Entry() {
  SetClosable(false);
  if (!m_closed) {
    --m_table.m_size;
  }
}

void ConnectionTable::Entry::SetClosable(bool closable) {
  if (closable == m_closable || m_closed) {
    return;
  }
  m_closable = closable;
  if (closable) {
    m_position = m_table.m_closable.insert(m_table.m_closable.end(), this);
  } else {
    m_table.m_closable.erase(m_position);
  }
}

bool ConnectionTable::MakeRoom() {
  if (m_size < m_max || CloseOldest()) {
    return true;
  }
  m_on_closed();
  return false;
}

bool ConnectionTable::CloseOldest() {
  if (m_closable.empty()) {
    return false;
  }
  Entry& oldest = *m_closable.front();
  oldest.SetClosable(false);
  oldest.m_closed = true;
  --m_size;
  oldest.m_stream.Close();
  m_on_closed();
  return true;
}

}  // namespace bronzecross
