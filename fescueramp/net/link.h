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

namespace fescueramp {

class Link;

/// The stream or the link under it ended early.
class LinkError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One request and its answer on a link. Reading is what opens the flow-control window, so a stream that
/// nobody reads holds at most one window of data.
class LinkStream {
 public:
  LinkStream(Link& link, const asio::any_io_executor& executor);

  /// Waits for the peer's header fields. @throws LinkError when the stream ends first.
  asio::awaitable<void> WaitHeaders();

  /// Waits until the peer has announced work `count` times. @throws LinkError when the stream ends first.
  asio::awaitable<void> WaitForInterimResponses(std::int64_t count);

  /// Announces to the peer that opened the stream that work is about to start, before the answer.
  void SendInterimResponse();

  /// Times that the peer has announced work.
  std::int64_t InterimResponses() const { return m_interims; }

  /// Header fields that the peer sent.
  const std::vector<HeaderField>& Headers() const { return m_headers; }

  /// Next part of the peer's data; empty at its end. @throws LinkError when the stream ends early.
  asio::awaitable<std::string> Read();

  /// All of the peer's data. @throws LinkError when the stream ends early.
  asio::awaitable<std::string> ReadAll();

  /// Answers a stream that the peer opened; data may follow.
  void SendHeaders(const std::vector<HeaderField>& headers);

  /// Sends data, waiting while much is unsent. @throws LinkError when the stream has ended.
  asio::awaitable<void> Write(std::string data);

  /// Ends this side's data.
  void Finish();

  /// Gives the stream up.
  void Reset();

  /// Whether the peer or the link has given the stream up.
  bool Broken() const { return m_broken; }

  /// Keeps the stream open while the peer is silent: its work runs, must not start elsewhere, and is answered
  /// if the peer was only paused. Whoever waits sets the limit.
  void KeepOpenWhileUnresponsive() { m_kept = true; }

  /// Whether it ended because the peer went silent, so that what the peer told last may not have come.
  bool PeerUnresponsive() const { return m_silent; }

  /// Is called once when the stream breaks off before both sides have finished.
  void SetBrokenHandler(std::function<void()> handler) { m_broken_handler = std::move(handler); }

 private:
  friend class Link;

  void Break();

  Link* m_link;
  std::int32_t m_id = -1;
  std::vector<HeaderField> m_headers;
  bool m_headers_complete = false;
  std::int64_t m_interims = 0;
  std::deque<std::string> m_inbox;
  bool m_remote_finished = false;
  std::string m_outbox;
  std::size_t m_outbox_sent = 0;
  bool m_local_finished = false;
  bool m_deferred = false;
  bool m_broken = false;
  bool m_silent = false;
  bool m_kept = false;  ///< Whether it outlasts a silence of the peer.
  bool m_closed = false;
  AsyncCondition m_readable;
  AsyncCondition m_writable;
  std::function<void()> m_broken_handler;
};

/// HTTP/2 connection between two nodes that carries many streams.
/// Notices a peer that went silent while streams are open.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using StreamHandler = std::function<void(std::shared_ptr<LinkStream>)>;

  /// @param is_server Whether the peer opens the streams; they go to `handler`.
  Link(asio::ip::tcp::socket socket, bool is_server, StreamHandler handler);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Starts reading and writing; the link lives until the connection ends.
  void Start();

  /// Opens a stream; `with_body` says whether data follows. @throws LinkError when the link is closed.
  std::shared_ptr<LinkStream> Open(const std::string& path, const std::vector<HeaderField>& headers,
                                   bool with_body);

  /// Ends the connection and breaks its streams.
  void Close();

  /// Whether it takes no new streams.
  bool Closed() const { return m_closed || m_suspended; }

 private:
  friend class LinkStream;

  /// Gives up what the silent peer has not begun, and keeps the rest. Streams that are kept end with their
  /// owner's limit or the connection.
  void Suspend();
  bool Keeps() const;

  asio::awaitable<void> ReadLoop();
  asio::awaitable<void> WriteLoop();
  asio::awaitable<void> WatchLoop();
  void Flush() { m_wants_write.Notify(); }
  LinkStream* Find(std::int32_t id);
  nghttp2_data_provider Provider();

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* self);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int OnData(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                    std::size_t size, void* self);
  static int OnStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t error, void* self);
  static ssize_t ReadOutbox(nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                            std::uint32_t* flags, nghttp2_data_source*, void* self);

  asio::ip::tcp::socket m_socket;
  bool m_is_server;
  StreamHandler m_handler;
  nghttp2_session* m_session = nullptr;
  std::map<std::int32_t, std::shared_ptr<LinkStream>> m_streams;
  AsyncCondition m_wants_write;
  AsyncCondition m_wants_watch;
  bool m_closed = false;
  bool m_silent = false;     ///< Whether the peer was given up because it went silent.
  bool m_suspended = false;  ///< Whether only streams that are kept are left.
  std::chrono::steady_clock::time_point m_last_heard;
};

}  // namespace fescueramp
