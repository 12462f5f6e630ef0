#include "fescueramp/net/link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace fescueramp {
namespace {

constexpr std::uint32_t kStreamWindow = 256 * 1024;     ///< Bytes.
constexpr std::int32_t kLinkWindow = 64 * 1024 * 1024;  ///< Bytes.
constexpr std::uint32_t kMaxStreams = 100'000;
constexpr std::size_t kMaxUnsent = 256 * 1024;   ///< Bytes of one stream kept for sending.
constexpr std::size_t kWriteChunk = 128 * 1024;  ///< Bytes of one write.
constexpr std::size_t kReadChunk = 64 * 1024;    ///< Bytes of one read.
constexpr const char* kInterimStatus = "100";
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr auto kWatchPeriod = std::chrono::milliseconds(150);  ///< Time between looks at a busy link.
constexpr auto kPingAfter = std::chrono::milliseconds(250);    ///< Silence after which the peer is pinged.
/// Silence after which what has not begun goes elsewhere: half of the shortest targets, and dozens of round
/// trips.
constexpr auto kSilenceLimit = std::chrono::milliseconds(600);
/// Silence after which nothing is kept either: longer than pauses that hosts come back from.
constexpr auto kLongestKept = std::chrono::seconds(15);

nghttp2_nv MakeField(const std::string& name, const std::string& value) {
  // Our own fields differ in every request, so the table of known fields gains nothing from them.
  const std::uint8_t flags = name.starts_with("fescue-") ? NGHTTP2_NV_FLAG_NO_INDEX : NGHTTP2_NV_FLAG_NONE;
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(), flags};
}

std::vector<nghttp2_nv> MakeFields(const std::vector<HeaderField>& headers) {
  std::vector<nghttp2_nv> fields;
  fields.reserve(headers.size());
  for (const auto& header : headers) fields.push_back(MakeField(header.m_name, header.m_value));
  return fields;
}

}  // namespace

LinkStream::LinkStream(Link& link, const asio::any_io_executor& executor)
    : m_link(&link), m_readable(executor), m_writable(executor) {}

asio::awaitable<void> LinkStream::WaitHeaders() {
  while (!m_headers_complete) {
    if (m_broken) throw LinkError("stream ended before its header");
    co_await m_readable.Wait();
  }
}

asio::awaitable<void> LinkStream::WaitForInterimResponses(std::int64_t count) {
  while (m_interims < count) {
    if (m_broken || m_headers_complete) throw LinkError("stream ended before work was announced");
    co_await m_readable.Wait();
  }
}

void LinkStream::SendInterimResponse() {
  if (m_broken || m_closed) throw LinkError("stream has ended");
  const auto fields = MakeFields({{":status", kInterimStatus}});
  nghttp2_submit_headers(m_link->m_session, NGHTTP2_FLAG_NONE, m_id, nullptr, fields.data(), fields.size(),
                         nullptr);
  m_link->Flush();
}

asio::awaitable<std::string> LinkStream::Read() {
  while (m_inbox.empty()) {
    if (m_broken) throw LinkError("stream ended early");
    if (m_remote_finished) co_return std::string();
    co_await m_readable.Wait();
  }
  std::string data = std::move(m_inbox.front());
  m_inbox.pop_front();
  if (!m_closed && m_link && !m_link->m_closed) {
    nghttp2_session_consume_stream(m_link->m_session, m_id, data.size());
    m_link->Flush();
  }
  co_return data;
}

asio::awaitable<std::string> LinkStream::ReadAll() {
  std::string all;
  for (std::string part = co_await Read(); !part.empty(); part = co_await Read()) all += part;
  co_return all;
}

void LinkStream::SendHeaders(const std::vector<HeaderField>& headers) {
  if (m_broken || m_closed) throw LinkError("stream has ended");
  const auto fields = MakeFields(headers);
  nghttp2_data_provider provider = m_link->Provider();
  nghttp2_submit_response(m_link->m_session, m_id, fields.data(), fields.size(), &provider);
  m_link->Flush();
}

asio::awaitable<void> LinkStream::Write(std::string data) {
  while (m_outbox.size() - m_outbox_sent > kMaxUnsent && !m_broken && !m_closed) co_await m_writable.Wait();
  if (m_broken || m_closed) throw LinkError("stream has ended");
  m_outbox.erase(0, m_outbox_sent);
  m_outbox_sent = 0;
  m_outbox += data;
  if (std::exchange(m_deferred, false)) nghttp2_session_resume_data(m_link->m_session, m_id);
  m_link->Flush();
}

void LinkStream::Finish() {
  if (m_broken || m_closed) return;
  m_local_finished = true;
  if (std::exchange(m_deferred, false)) nghttp2_session_resume_data(m_link->m_session, m_id);
  m_link->Flush();
}

void LinkStream::Reset() {
  if (m_broken || m_closed) return;
  m_broken_handler = nullptr;
  nghttp2_submit_rst_stream(m_link->m_session, NGHTTP2_FLAG_NONE, m_id, NGHTTP2_CANCEL);
  m_link->Flush();
  Break();
}

void LinkStream::Break() {
  if (m_broken) return;
  m_broken = true;
  m_readable.Notify();
  m_writable.Notify();
  if (auto handler = std::exchange(m_broken_handler, nullptr)) handler();
}

Link::Link(asio::ip::tcp::socket socket, bool is_server, StreamHandler handler)
    : m_socket(std::move(socket)),
      m_is_server(is_server),
      m_handler(std::move(handler)),
      m_wants_write(m_socket.get_executor()),
      m_wants_watch(m_socket.get_executor()),
      m_last_heard(std::chrono::steady_clock::now()) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnStreamClose);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, kMaxStreams);
  if (m_is_server)
    nghttp2_session_server_new2(&m_session, callbacks, this, option);
  else
    nghttp2_session_client_new2(&m_session, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
                                             {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
                                             {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes}};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kLinkWindow);
}

Link::~Link() { nghttp2_session_del(m_session); }

void Link::Start() {
  boost::system::error_code ec;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
  const auto executor = m_socket.get_executor();
  asio::co_spawn(executor, ReadLoop(), asio::detached);
  asio::co_spawn(executor, WriteLoop(), asio::detached);
  asio::co_spawn(executor, WatchLoop(), asio::detached);
}

asio::awaitable<void> Link::ReadLoop() {
  const auto self = shared_from_this();
  std::vector<std::uint8_t> buffer(kReadChunk);
  while (!m_closed) {
    boost::system::error_code ec;
    const std::size_t size = co_await m_socket.async_read_some(asio::buffer(buffer),
                                                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec || m_closed) break;
    m_last_heard = std::chrono::steady_clock::now();
    if (nghttp2_session_mem_recv(m_session, buffer.data(), size) < 0) break;
    Flush();
  }
  Close();
}

asio::awaitable<void> Link::WriteLoop() {
  const auto self = shared_from_this();
  std::string buffer;
  while (!m_closed) {
    buffer.clear();
    while (buffer.size() < kWriteChunk) {
      const std::uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(m_session, &data);
      if (size <= 0) break;
      buffer.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    if (buffer.empty()) {
      co_await m_wants_write.Wait();
      continue;
    }
    boost::system::error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
  }
  Close();
}

asio::awaitable<void> Link::WatchLoop() {
  const auto self = shared_from_this();
  while (!m_closed) {
    if (m_streams.empty()) {
      co_await m_wants_watch.Wait();
      m_last_heard = std::chrono::steady_clock::now();
      continue;
    }
    const auto due = std::chrono::steady_clock::now() + kWatchPeriod;
    co_await Sleep(kWatchPeriod);
    const auto now = std::chrono::steady_clock::now();
    // A node that was paused itself must read what has come in before it judges the peer.
    if (now - due > kWatchPeriod) {
      m_last_heard = now;
      continue;
    }
    if (m_suspended && (!Keeps() || now - m_last_heard > kLongestKept)) break;
    m_silent = m_silent || now - m_last_heard > kSilenceLimit;
    if (m_silent && !Keeps()) break;
    if (m_silent && !m_suspended) Suspend();
    if (now - m_last_heard > kPingAfter) {
      nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
      Flush();
    }
  }
  Close();
}

bool Link::Keeps() const {
  return std::any_of(m_streams.begin(), m_streams.end(),
                     [](const auto& item) { return item.second->m_kept && !item.second->m_broken; });
}

void Link::Suspend() {
  m_suspended = true;
  const auto streams = m_streams;
  for (const auto& [id, stream] : streams) {
    if (stream->m_kept) continue;
    stream->m_silent = true;
    // A peer that wakes must not begin what has gone elsewhere.
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    stream->Break();
  }
  Flush();
}

void Link::Close() {
  if (std::exchange(m_closed, true)) return;
  boost::system::error_code ec;
  m_socket.close(ec);
  m_wants_write.Notify();
  m_wants_watch.Notify();
  const auto streams = std::exchange(m_streams, {});
  for (const auto& [id, stream] : streams) {
    // Streams outlive the link; they must not reach back.
    const bool whole = stream->m_remote_finished && stream->m_local_finished &&
                       stream->m_outbox_sent == stream->m_outbox.size();
    stream->m_closed = true;
    stream->m_silent = m_silent;
    stream->m_link = nullptr;
    if (!whole) stream->Break();
  }
}

std::shared_ptr<LinkStream> Link::Open(const std::string& path, const std::vector<HeaderField>& headers,
                                       bool with_body) {
  if (Closed()) throw LinkError("link is closed");
  std::vector<HeaderField> all = {
      {":method", "POST"}, {":scheme", "http"}, {":authority", "fescueramp"}, {":path", path}};
  all.insert(all.end(), headers.begin(), headers.end());
  const auto fields = MakeFields(all);
  auto stream = std::make_shared<LinkStream>(*this, m_socket.get_executor());
  nghttp2_data_provider provider = Provider();
  stream->m_id = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(),
                                        with_body ? &provider : nullptr, nullptr);
  if (stream->m_id < 0) throw LinkError(nghttp2_strerror(stream->m_id));
  stream->m_local_finished = !with_body;
  m_streams[stream->m_id] = stream;
  if (m_streams.size() == 1) m_wants_watch.Notify();
  Flush();
  return stream;
}

LinkStream* Link::Find(std::int32_t id) {
  const auto found = m_streams.find(id);
  return found == m_streams.end() ? nullptr : found->second.get();
}

nghttp2_data_provider Link::Provider() {
  nghttp2_data_provider provider{};
  provider.read_callback = ReadOutbox;
  return provider;
}

int Link::OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* self) {
  auto* link = static_cast<Link*>(self);
  if (!link->m_is_server || link->Find(frame->hd.stream_id)) return 0;
  auto stream = std::make_shared<LinkStream>(*link, link->m_socket.get_executor());
  stream->m_id = frame->hd.stream_id;
  link->m_streams[stream->m_id] = std::move(stream);
  if (link->m_streams.size() == 1) link->m_wants_watch.Notify();
  return 0;
}

int Link::OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                   std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                   void* self) {
  if (auto* stream = static_cast<Link*>(self)->Find(frame->hd.stream_id)) {
    stream->m_headers.push_back({std::string(reinterpret_cast<const char*>(name), name_size),
                                 std::string(reinterpret_cast<const char*>(value), value_size)});
  }
  return 0;
}

int Link::OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self) {
  auto* link = static_cast<Link*>(self);
  auto* stream = link->Find(frame->hd.stream_id);
  if (!stream) return 0;
  if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) stream->m_remote_finished = true;
  const bool interim = !link->m_is_server && FindHeader(stream->m_headers, ":status") == kInterimStatus;
  if (frame->hd.type == NGHTTP2_HEADERS && interim && !stream->m_headers_complete) {
    ++stream->m_interims;
    stream->m_headers.clear();
  } else if (frame->hd.type == NGHTTP2_HEADERS && !stream->m_headers_complete) {
    stream->m_headers_complete = true;
    if (link->m_is_server) link->m_handler(link->m_streams.at(frame->hd.stream_id));
  }
  stream->m_readable.Notify();
  return 0;
}

int Link::OnData(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                 std::size_t size, void* self) {
  // The window of the link is opened at once, so that one unread stream holds up no other.
  nghttp2_session_consume_connection(session, size);
  if (auto* stream = static_cast<Link*>(self)->Find(id)) {
    stream->m_inbox.emplace_back(reinterpret_cast<const char*>(data), size);
    stream->m_readable.Notify();
  }
  return 0;
}

int Link::OnStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t error, void* self) {
  auto* link = static_cast<Link*>(self);
  const auto found = link->m_streams.find(id);
  if (found == link->m_streams.end()) return 0;
  const auto stream = found->second;
  link->m_streams.erase(found);
  stream->m_closed = true;
  if (error != NGHTTP2_NO_ERROR || !stream->m_remote_finished) stream->Break();
  stream->m_readable.Notify();
  stream->m_writable.Notify();
  return 0;
}

ssize_t Link::ReadOutbox(nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                         std::uint32_t* flags, nghttp2_data_source*, void* self) {
  auto* stream = static_cast<Link*>(self)->Find(id);
  if (!stream) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t left = stream->m_outbox.size() - stream->m_outbox_sent;
  if (left == 0 && !stream->m_local_finished) {
    stream->m_deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  const std::size_t count = std::min(left, size);
  std::memcpy(buffer, stream->m_outbox.data() + stream->m_outbox_sent, count);
  stream->m_outbox_sent += count;
  if (count == left && stream->m_local_finished) *flags |= NGHTTP2_DATA_FLAG_EOF;
  stream->m_writable.Notify();
  return static_cast<ssize_t>(count);
}

}  // namespace fescueramp
