// Bounds the number of connections that were accepted on a listening port.

#ifndef BRONZECROSS_AIO_CONNECTION_TABLE_H_
#define BRONZECROSS_AIO_CONNECTION_TABLE_H_

#include <cstddef>
#include <functional>
#include <list>

#include "aio/tcp_stream.h"

namespace bronzecross {

class ConnectionTable {
 public:
  // `on_closed` is called for each connection that is closed to make room, and
  // for each new one that finds none.
  ConnectionTable(size_t max_connections, std::function<void()> on_closed)
      : m_max(max_connections), m_on_closed(std::move(on_closed)) {}
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  // An open connection, for as long as its task runs.
  class Entry {
   public:
    Entry(ConnectionTable& table, TcpStream& stream);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    // Whether the connection may be closed to make room: it is idle, its
    // request is incomplete, or its response waits to be read.
    void SetClosable(bool closable);

   private:
    friend class ConnectionTable;

    ConnectionTable& m_table;
    TcpStream& m_stream;
    std::list<Entry*>::iterator m_position;
    bool m_closable = false;
    bool m_closed = false;
  };

  // Makes room for a new connection. Returns false if there is none, since all
  // connections are being served.
  bool MakeRoom();
  // Closes the connection that has been closable for the longest time. Returns
  // false if there is none.
  bool CloseOldest();
  size_t Size() const { return m_size; }

 private:
  const size_t m_max;
  const std::function<void()> m_on_closed;
  size_t m_size = 0;  // entries whose connection is open
  // In the order in which they became closable.
  std::list<Entry*> m_closable;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_CONNECTION_TABLE_H_
