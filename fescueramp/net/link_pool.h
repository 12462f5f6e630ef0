#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

#include "fescueramp/net/link.h"

namespace fescueramp {

/// Links to other nodes; one per address, opened on first use.
class LinkPool {
 public:
  explicit LinkPool(const asio::any_io_executor& executor) : m_executor(executor) {}

  /// Returns an open link to the address, connecting if needed.
  /// @throws LinkError when the connection is not established within 400 ms.
  asio::awaitable<std::shared_ptr<Link>> Get(std::string address, std::uint16_t port);

  /// Counts the data of its links in an account. Call this before links are opened.
  void SetMemory(std::shared_ptr<MemoryAccount> account) { m_memory = std::move(account); }

  /// Closes all links.
  void CloseAll();

 private:
  asio::any_io_executor m_executor;
  std::shared_ptr<MemoryAccount> m_memory;
  std::map<std::string, std::shared_ptr<Link>> m_links;  ///< By address and port.
};

}  // namespace fescueramp
