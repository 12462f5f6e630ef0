#include "fescueramp/net/link_pool.h"

namespace fescueramp {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(400);

}  // namespace

asio::awaitable<std::shared_ptr<Link>> LinkPool::Get(std::string address, std::uint16_t port) {
  const std::string key = address + "|" + std::to_string(port);
  boost::system::error_code ec;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address, ec), port);
  if (ec) throw LinkError("cannot parse the address of " + key);
  if (const auto found = m_links.find(key); found != m_links.end() && !found->second->Closed()) {
    co_return found->second;
  }
  // The timer's handler may run after the connect has ended, so it must not refer to this coroutine.
  const auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
  asio::steady_timer timer(m_executor, kConnectTimeout);
  timer.async_wait([socket](const boost::system::error_code& ec) {
    boost::system::error_code ignored;
    if (!ec) socket->close(ignored);
  });
  co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
  timer.cancel();
  if (ec || !socket->is_open()) throw LinkError("cannot connect to " + key);
  // Another coroutine may have connected to the same address meanwhile.
  auto& link = m_links[key];
  if (!link || link->Closed()) {
    link = std::make_shared<Link>(std::move(*socket), false, nullptr);
    link->SetMemory(m_memory);
    link->Start();
  }
  co_return link;
}

void LinkPool::CloseAll() {
  for (auto& [key, link] : m_links) link->Close();
}

}  // namespace fescueramp
