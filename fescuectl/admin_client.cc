#include "fescuectl/admin_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/url.hpp>
#include <exception>

#include "fescueramp/net/http_client.h"

namespace fescueramp {
namespace {

constexpr auto kTimeout = std::chrono::seconds(60);

}  // namespace

json::value AdminClient::Call(const std::string& method, const std::string& path, const std::string& body) {
  asio::io_context io(1);
  HttpConnection connection(io.get_executor(), m_target.m_address, m_target.m_port);
  RequestHead head{method, path, {}, 0};
  head.m_headers.push_back({"Authorization", "Bearer " + m_target.m_token});
  HttpResponse answer;
  std::exception_ptr failure;
  asio::co_spawn(io, connection.Request(std::move(head), body, kTimeout),
                 [&](std::exception_ptr error, HttpResponse result) {
                   failure = error;
                   answer = std::move(result);
                 });
  io.run();
  if (failure) std::rethrow_exception(failure);
  return ParseJson(answer.m_body);
}

std::string EncodeQuery(std::string_view text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

}  // namespace fescueramp
