#pragma once

#include <nghttp2/nghttp2.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/net/async_condition.h"
#include "fescueramp/net/http_types.h"
#include "fescueramp/net/memory_budget.h"

namespace fescueramp {

class Link;

/// A stream or its link ended early.
class LinkError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One request and its response on a link (an HTTP/2 stream). Reading reopens the stream's flow-control
/// window, so an unread stream buffers at most one window of data.
class LinkStream {
 public:
  LinkStream(Link& link, const asio::any_io_executor& executor, const std::shared_ptr<MemoryAccount>& memory);

  /// Waits for the peer's final header fields. @throws LinkError when the stream ends first.
  asio::awaitable<void> WaitHeaders();

  /// Waits until `count` interim responses have arrived.
  /// @throws LinkError when the stream ends or the final response arrives first.
  asio::awaitable<void> WaitForInterimResponses(std::int64_t count);

  /// Sends an interim response (status 100), which announces that an attempt is about to start. For the side
  /// that did not open the stream. @throws LinkError when the stream has ended.
  void SendInterimResponse();

  /// Number of interim responses received, one per attempt started.
  std::int64_t InterimResponses() const { return m_interim_responses; }

  /// Whether the peer's final header fields have arrived.
  bool HeadersComplete() const { return m_headers_complete; }

  /// Final header fields received from the peer.
  const std::vector<HeaderField>& Headers() const { return m_headers; }

  /// Reads the next part of the peer's data; empty at the end. @throws LinkError when the stream ends early.
  asio::awaitable<std::string> Read();

  /// Reads all of the peer's data. @throws LinkError when the stream ends early, or has more than 64 MiB.
  asio::awaitable<std::string> ReadAll();

  /// Sends the response's header fields on a stream that the peer opened; data may follow.
  /// @throws LinkError when the stream has ended.
  void SendHeaders(const std::vector<HeaderField>& headers);

  /// Sends data; waits while more than 256 KiB are unsent. @throws LinkError when the stream has ended.
  asio::awaitable<void> Write(std::string data);

  /// Ends the data of this side.
  void Finish();

  /// Waits until the connection has taken all data of this side, if this side has finished, or until the
  /// stream has ended early.
  asio::awaitable<void> WaitWritten();

  /// Cancels the stream without calling the broken handler.
  void Reset();

  /// Whether the stream was cancelled or broke off.
  bool Broken() const { return m_broken; }

  /// Keeps the stream open while the peer is unresponsive. For work that has started and must not start at
  /// another node: a peer that was only paused still responds. The caller sets the time limit.
  void KeepOpenWhileUnresponsive() { m_keep_open = true; }

  /// Whether the stream ended because the peer was unresponsive, so that its last messages may be lost.
  bool PeerUnresponsive() const { return m_peer_unresponsive; }

  /// Sets a handler that is called once when the stream breaks off before both sides have finished.
  void SetBrokenHandler(std::function<void()> handler) { m_broken_handler = std::move(handler); }

 private:
  friend class Link;

  void Break();
  void UpdateCharges();

  Link* m_link;
  std::int32_t m_id = -1;
  std::vector<HeaderField> m_headers;
  std::size_t m_header_bytes = 0;  ///< Header fields and trailer fields received.
  bool m_headers_complete = false;
  std::int64_t m_interim_responses = 0;
  std::shared_ptr<MemoryAccount> m_memory;
  std::deque<std::string> m_receive_queue;
  std::size_t m_received_bytes = 0;  ///< Size of `m_receive_queue`, bytes.
  MemoryCharge m_receive_charge;
  MemoryCharge m_send_charge;
  bool m_remote_finished = false;
  std::string m_send_buffer;
  std::size_t m_send_offset = 0;
  bool m_local_finished = false;
  bool m_deferred = false;    ///< Whether nghttp2 waits for more data to send.
  bool m_end_queued = false;  ///< Whether the end of this side's data is being written; before m_write_ended.
  bool m_write_ended = false;  ///< Whether nothing of this side is left to be written.
  bool m_broken = false;
  bool m_peer_unresponsive = false;
  bool m_limit_exceeded = false;  ///< Whether the peer sent more than the limits allow.
  bool m_keep_open = false;       ///< Whether it stays open while the peer is unresponsive.
  bool m_closed = false;
  AsyncCondition m_readable;
  AsyncCondition m_writable;
  std::function<void()> m_broken_handler;
};

/// HTTP/2 connection between two nodes, which multiplexes many streams.
/// Detects an unresponsive peer while streams are open.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using StreamHandler = std::function<void(std::shared_ptr<LinkStream>)>;

  /// @param is_server Whether the peer opens the streams, which are then passed to `handler`.
  Link(asio::ip::tcp::socket socket, bool is_server, StreamHandler handler);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Counts the data of its streams in an account. Call this before Start.
  void SetMemory(std::shared_ptr<MemoryAccount> account) { m_memory = std::move(account); }

  /// Starts reading, writing and liveness checks. The object lives at least until the connection ends.
  void Start();

  /// Opens a stream; `with_body` says whether data follows. @throws LinkError when the link is closed.
  std::shared_ptr<LinkStream> Open(const std::string& path, const std::vector<HeaderField>& headers,
                                   bool with_body);

  /// Closes the connection and breaks off its unfinished streams.
  void Close();

  /// Whether new streams are refused.
  bool Closed() const { return m_closed || m_suspended || m_write_failed; }

  /// Sets a handler that is called when a stream is reset because the peer sent more than the limits allow.
  void SetLimitHandler(std::function<void()> handler) { m_limit_handler = std::move(handler); }

  /// Whether bytes are being written, or the peer's system hasn't acknowledged all that were. The system
  /// drops them when this process ends while data of the peer is unread.
  bool HasUndeliveredBytes();

 private:
  friend class LinkStream;

  /// Cancels the streams whose work an unresponsive peer has not started. Streams kept open end with their
  /// owner's time limit or the connection.
  void Suspend();
  bool HasKeptOpenStreams() const;

  asio::awaitable<void> ReadLoop();
  asio::awaitable<void> WriteLoop();

  /// Lets ReadLoop close the connection when it has read what has arrived: a write also fails when the peer
  /// has ended after its last response.
  void EndAfterArrivedData();
  asio::awaitable<void> LivenessLoop();
  void Flush() { m_write_requested.Notify(); }
  LinkStream* FindStream(std::int32_t id);

  /// Resets a stream on which the peer has sent more than the limits allow.
  void EndAtLimit(LinkStream& stream);
  void EndWrites();
  nghttp2_data_provider MakeDataProvider();

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* self);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int OnData(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                    std::size_t size, void* self);
  static int OnStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t error, void* self);
  static ssize_t ReadSendBuffer(nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                                std::uint32_t* flags, nghttp2_data_source*, void* self);

  asio::ip::tcp::socket m_socket;
  bool m_is_server;
  StreamHandler m_handler;
  std::function<void()> m_limit_handler;
  std::shared_ptr<MemoryAccount> m_memory;
  nghttp2_session* m_session = nullptr;
  std::map<std::int32_t, std::shared_ptr<LinkStream>> m_streams;
  /// Streams of which the end of this side's data is being written; nghttp2 may have closed them already.
  std::vector<std::shared_ptr<LinkStream>> m_ending_streams;
  AsyncCondition m_write_requested;
  AsyncCondition m_stream_opened;
  bool m_closed = false;
  bool m_writing = false;            ///< Whether bytes are being written.
  bool m_write_failed = false;       ///< Whether the connection takes no more data.
  bool m_peer_unresponsive = false;  ///< Whether the peer was unresponsive for too long.
  bool m_suspended = false;          ///< Whether only streams kept open are left.
  std::chrono::steady_clock::time_point m_last_receive;
};

}  // namespace fescueramp
