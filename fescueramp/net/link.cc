#include "fescueramp/net/link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

#include "fescueramp/net/unacknowledged_bytes.h"

namespace fescueramp {
namespace {

constexpr std::uint32_t kStreamWindowBytes = 256 * 1024;     ///< Flow-control window of a stream.
constexpr std::int32_t kLinkWindowBytes = 64 * 1024 * 1024;  ///< Flow-control window of a link.
constexpr std::uint32_t kMaxStreams = 100'000;
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;  ///< Per stream.
constexpr std::size_t kWriteChunkBytes = 128 * 1024;
constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr const char* kInterimStatus = "100";
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;  ///< Header fields of a message, as announced to the peer.
/// Header and trailer fields after which a stream is reset. Nodes send at most 64 KiB, counted without the
/// overhead.
constexpr std::size_t kMaxReceivedHeaderBytes = 2 * kMaxHeaderBytes;
constexpr std::size_t kHeaderFieldBytes = 32;  ///< Overhead of a field in the limit (RFC 9113, 6.5.2).
/// Far more than one for each attempt that a request may have.
constexpr std::int64_t kMaxInterimResponses = 1000;
constexpr std::size_t kMaxWholeBytes = 64 * 1024 * 1024;  ///< Data of one stream that is read as a whole.
/// Small pieces of data are joined up to this size, since each piece takes memory of its own.
constexpr std::size_t kJoinedBytes = 16 * 1024;
constexpr auto kLivenessCheckPeriod = std::chrono::milliseconds(150);  ///< While streams are open.
constexpr auto kPingDelay = std::chrono::milliseconds(250);  ///< Time without received data before a ping.
/// Time without received data after which work that has not started is sent to another node: half of the
/// shortest latency targets, and dozens of round trips.
constexpr auto kUnresponsiveTimeout = std::chrono::milliseconds(600);
/// Time without received data after which streams kept open end too: longer than pauses from which hosts
/// recover.
constexpr auto kMaxKeepOpenTime = std::chrono::seconds(15);

nghttp2_nv MakeField(const std::string& name, const std::string& value) {
  // Values of "fescue-" fields differ in every request, so indexing them would not improve header
  // compression.
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

LinkStream::LinkStream(Link& link, const asio::any_io_executor& executor,
                       const std::shared_ptr<MemoryAccount>& memory)
    : m_link(&link),
      m_memory(memory),
      m_receive_charge(memory, MemoryKind::kLinkReceive, 0),
      m_send_charge(memory, MemoryKind::kLinkSend, 0),
      m_readable(executor),
      m_writable(executor) {}

void LinkStream::UpdateCharges() {
  m_receive_charge.Resize(m_received_bytes);
  m_send_charge.Resize(m_send_buffer.size());
}

asio::awaitable<void> LinkStream::WaitHeaders() {
  while (!m_headers_complete) {
    if (m_broken) throw LinkError("stream ended before its header fields arrived");
    co_await m_readable.Wait();
  }
}

asio::awaitable<void> LinkStream::WaitForInterimResponses(std::int64_t count) {
  while (m_interim_responses < count) {
    if (m_broken || m_headers_complete) throw LinkError("stream ended before an interim response arrived");
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
  while (m_receive_queue.empty()) {
    if (m_broken) throw LinkError("stream ended early");
    if (m_remote_finished) co_return std::string();
    co_await m_readable.Wait();
  }
  std::string data = std::move(m_receive_queue.front());
  m_receive_queue.pop_front();
  m_received_bytes -= data.size();
  UpdateCharges();
  if (!m_closed && m_link && !m_link->m_closed) {
    nghttp2_session_consume_stream(m_link->m_session, m_id, data.size());
    m_link->Flush();
  }
  co_return data;
}

asio::awaitable<std::string> LinkStream::ReadAll() {
  std::string all;
  for (std::string part = co_await Read(); !part.empty(); part = co_await Read()) {
    all += part;
    if (all.size() <= kMaxWholeBytes) continue;
    Reset();
    throw LinkError("too much data on one stream");
  }
  co_return all;
}

void LinkStream::SendHeaders(const std::vector<HeaderField>& headers) {
  if (m_broken || m_closed) throw LinkError("stream has ended");
  const auto fields = MakeFields(headers);
  nghttp2_data_provider provider = m_link->MakeDataProvider();
  nghttp2_submit_response(m_link->m_session, m_id, fields.data(), fields.size(), &provider);
  m_link->Flush();
}

asio::awaitable<void> LinkStream::Write(std::string data) {
  MemoryCharge waiting(m_memory, MemoryKind::kLinkSend, data.size());
  while (m_send_buffer.size() - m_send_offset > kMaxUnsentBytes && !m_broken && !m_closed)
    co_await m_writable.Wait();
  if (m_broken || m_closed) throw LinkError("stream has ended");
  m_send_buffer.erase(0, m_send_offset);
  m_send_offset = 0;
  if (m_send_buffer.empty())
    m_send_buffer = std::move(data);
  else
    m_send_buffer += data;
  waiting.Resize(0);
  UpdateCharges();
  if (std::exchange(m_deferred, false)) nghttp2_session_resume_data(m_link->m_session, m_id);
  m_link->Flush();
}

void LinkStream::Finish() {
  if (m_broken || m_closed) return;
  m_local_finished = true;
  if (std::exchange(m_deferred, false)) nghttp2_session_resume_data(m_link->m_session, m_id);
  m_link->Flush();
}

asio::awaitable<void> LinkStream::WaitWritten() {
  while (m_local_finished && !m_write_ended && !m_broken) co_await m_writable.Wait();
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
      m_write_requested(m_socket.get_executor()),
      m_stream_opened(m_socket.get_executor()),
      m_last_receive(std::chrono::steady_clock::now()) {
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
  const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
                                             {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
                                             {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes}};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kLinkWindowBytes);
}

Link::~Link() { nghttp2_session_del(m_session); }

void Link::Start() {
  boost::system::error_code ec;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
  const auto executor = m_socket.get_executor();
  asio::co_spawn(executor, ReadLoop(), asio::detached);
  asio::co_spawn(executor, WriteLoop(), asio::detached);
  asio::co_spawn(executor, LivenessLoop(), asio::detached);
}

asio::awaitable<void> Link::ReadLoop() {
  const auto self = shared_from_this();
  std::vector<std::uint8_t> buffer(kReadChunkBytes);
  while (!m_closed) {
    boost::system::error_code ec;
    const std::size_t size = co_await m_socket.async_read_some(asio::buffer(buffer),
                                                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec || m_closed) break;
    m_last_receive = std::chrono::steady_clock::now();
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
    while (buffer.size() < kWriteChunkBytes) {
      const std::uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(m_session, &data);
      if (size <= 0) break;
      buffer.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    if (buffer.empty()) {
      co_await m_write_requested.Wait();
      continue;
    }
    boost::system::error_code ec;
    m_writing = true;
    co_await asio::async_write(m_socket, asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
    m_writing = false;
    if (ec) {
      EndAfterArrivedData();
      co_return;
    }
    EndWrites();
  }
  Close();
}

void Link::EndAfterArrivedData() {
  m_write_failed = true;
  boost::system::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

void Link::EndWrites() {
  for (const auto& stream : std::exchange(m_ending_streams, {})) {
    stream->m_write_ended = true;
    stream->m_writable.Notify();
  }
}

asio::awaitable<void> Link::LivenessLoop() {
  const auto self = shared_from_this();
  while (!m_closed) {
    if (m_streams.empty()) {
      co_await m_stream_opened.Wait();
      m_last_receive = std::chrono::steady_clock::now();
      continue;
    }
    const auto due = std::chrono::steady_clock::now() + kLivenessCheckPeriod;
    co_await Sleep(kLivenessCheckPeriod);
    const auto now = std::chrono::steady_clock::now();
    // After a pause of this process, data that arrived meanwhile must be read before the peer is checked.
    if (now - due > kLivenessCheckPeriod) {
      m_last_receive = now;
      continue;
    }
    if (m_suspended && (!HasKeptOpenStreams() || now - m_last_receive > kMaxKeepOpenTime)) break;
    m_peer_unresponsive = m_peer_unresponsive || now - m_last_receive > kUnresponsiveTimeout;
    if (m_peer_unresponsive && !HasKeptOpenStreams()) break;
    if (m_peer_unresponsive && !m_suspended) Suspend();
    if (now - m_last_receive > kPingDelay) {
      nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
      Flush();
    }
  }
  Close();
}

bool Link::HasUndeliveredBytes() { return !m_closed && (m_writing || UnacknowledgedBytes(m_socket) > 0); }

bool Link::HasKeptOpenStreams() const {
  return std::any_of(m_streams.begin(), m_streams.end(),
                     [](const auto& item) { return item.second->m_keep_open && !item.second->m_broken; });
}

void Link::Suspend() {
  m_suspended = true;
  const auto streams = m_streams;
  for (const auto& [id, stream] : streams) {
    if (stream->m_keep_open) continue;
    stream->m_peer_unresponsive = true;
    // A peer that recovers must not start work that was sent to another node.
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    stream->Break();
  }
  Flush();
}

void Link::Close() {
  if (std::exchange(m_closed, true)) return;
  boost::system::error_code ec;
  m_socket.close(ec);
  m_write_requested.Notify();
  m_stream_opened.Notify();
  EndWrites();
  const auto streams = std::exchange(m_streams, {});
  for (const auto& [id, stream] : streams) {
    // Streams can outlive the link, so they must not refer to it.
    const bool complete = stream->m_remote_finished && stream->m_local_finished &&
                          stream->m_send_offset == stream->m_send_buffer.size();
    stream->m_closed = true;
    stream->m_peer_unresponsive = m_peer_unresponsive;
    stream->m_link = nullptr;
    stream->m_write_ended = true;
    if (!complete) stream->Break();
  }
}

std::shared_ptr<LinkStream> Link::Open(const std::string& path, const std::vector<HeaderField>& headers,
                                       bool with_body) {
  if (Closed()) throw LinkError("link is closed");
  std::vector<HeaderField> all = {
      {":method", "POST"}, {":scheme", "http"}, {":authority", "fescueramp"}, {":path", path}};
  all.insert(all.end(), headers.begin(), headers.end());
  const auto fields = MakeFields(all);
  auto stream = std::make_shared<LinkStream>(*this, m_socket.get_executor(), m_memory);
  nghttp2_data_provider provider = MakeDataProvider();
  stream->m_id = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(),
                                        with_body ? &provider : nullptr, nullptr);
  if (stream->m_id < 0) throw LinkError(nghttp2_strerror(stream->m_id));
  stream->m_local_finished = !with_body;
  m_streams[stream->m_id] = stream;
  if (m_streams.size() == 1) m_stream_opened.Notify();
  Flush();
  return stream;
}

LinkStream* Link::FindStream(std::int32_t id) {
  const auto found = m_streams.find(id);
  return found == m_streams.end() ? nullptr : found->second.get();
}

void Link::EndAtLimit(LinkStream& stream) {
  if (std::exchange(stream.m_limit_exceeded, true)) return;
  if (m_limit_handler) m_limit_handler();
  nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream.m_id, NGHTTP2_ENHANCE_YOUR_CALM);
  stream.Break();
}

nghttp2_data_provider Link::MakeDataProvider() {
  nghttp2_data_provider provider{};
  provider.read_callback = ReadSendBuffer;
  return provider;
}

int Link::OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* self) {
  auto* link = static_cast<Link*>(self);
  if (!link->m_is_server || link->FindStream(frame->hd.stream_id)) return 0;
  auto stream = std::make_shared<LinkStream>(*link, link->m_socket.get_executor(), link->m_memory);
  stream->m_id = frame->hd.stream_id;
  link->m_streams[stream->m_id] = std::move(stream);
  if (link->m_streams.size() == 1) link->m_stream_opened.Notify();
  return 0;
}

int Link::OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                   std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                   void* self) {
  auto* link = static_cast<Link*>(self);
  if (auto* stream = link->FindStream(frame->hd.stream_id)) {
    stream->m_header_bytes += name_size + value_size + kHeaderFieldBytes;
    if (stream->m_header_bytes > kMaxReceivedHeaderBytes) link->EndAtLimit(*stream);
    if (stream->m_limit_exceeded) return 0;
    stream->m_headers.push_back({std::string(reinterpret_cast<const char*>(name), name_size),
                                 std::string(reinterpret_cast<const char*>(value), value_size)});
  }
  return 0;
}

int Link::OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self) {
  auto* link = static_cast<Link*>(self);
  auto* stream = link->FindStream(frame->hd.stream_id);
  if (!stream || stream->m_limit_exceeded) return 0;
  if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) stream->m_remote_finished = true;
  const bool interim = !link->m_is_server && FindHeader(stream->m_headers, ":status") == kInterimStatus;
  if (frame->hd.type == NGHTTP2_HEADERS && interim && !stream->m_headers_complete) {
    ++stream->m_interim_responses;
    stream->m_headers.clear();
    stream->m_header_bytes = 0;
    if (stream->m_interim_responses > kMaxInterimResponses) link->EndAtLimit(*stream);
  } else if (frame->hd.type == NGHTTP2_HEADERS && !stream->m_headers_complete) {
    stream->m_headers_complete = true;
    if (link->m_is_server) link->m_handler(link->m_streams.at(frame->hd.stream_id));
  }
  stream->m_readable.Notify();
  return 0;
}

int Link::OnData(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                 std::size_t size, void* self) {
  // The connection window is reopened at once, so that one unread stream does not block the others.
  nghttp2_session_consume_connection(session, size);
  if (auto* stream = static_cast<Link*>(self)->FindStream(id)) {
    if (stream->m_limit_exceeded) return 0;
    auto& queue = stream->m_receive_queue;
    if (queue.empty() || queue.back().size() + size > kJoinedBytes) queue.emplace_back();
    queue.back().append(reinterpret_cast<const char*>(data), size);
    stream->m_received_bytes += size;
    stream->UpdateCharges();
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
  stream->m_write_ended = stream->m_write_ended || !stream->m_end_queued;
  if (error != NGHTTP2_NO_ERROR || !stream->m_remote_finished) stream->Break();
  stream->m_readable.Notify();
  stream->m_writable.Notify();
  return 0;
}

ssize_t Link::ReadSendBuffer(nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                             std::uint32_t* flags, nghttp2_data_source*, void* self) {
  auto* link = static_cast<Link*>(self);
  auto* stream = link->FindStream(id);
  if (!stream) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t left = stream->m_send_buffer.size() - stream->m_send_offset;
  if (left == 0 && !stream->m_local_finished) {
    stream->m_deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  const std::size_t count = std::min(left, size);
  std::memcpy(buffer, stream->m_send_buffer.data() + stream->m_send_offset, count);
  stream->m_send_offset += count;
  if (count == left) {
    // Frees the buffer, which otherwise stays as long as the stream.
    std::string().swap(stream->m_send_buffer);
    stream->m_send_offset = 0;
    stream->UpdateCharges();
  }
  if (count == left && stream->m_local_finished) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    stream->m_end_queued = true;
    link->m_ending_streams.push_back(link->m_streams.at(id));
  }
  stream->m_writable.Notify();
  return static_cast<ssize_t>(count);
}

}  // namespace fescueramp
