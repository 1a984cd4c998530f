#pragma once

#include "adapters/backend_client.hpp"
#include "adapters/wire_connection.hpp"
#include "core/refusal.hpp"

#include <string>
#include <string_view>

namespace siskinusher
{

/// Writes the answer to one request of a caller.
class answer_writer : public answer_sink
{
public:
    /// `request_id` is returned to the caller in X-Request-Id.
    answer_writer(wire_connection& connection, bool http_1_1, bool head_only, bool keep_alive,
                  std::string request_id);

    int watched_descriptor() const override { return connection_.descriptor(); }
    bool send_whole(answer_head const& head, std::string_view body) override;
    bool begin(answer_head const& head) override;
    bool write(std::string_view part) override;
    bool end() override;
    bool begun() const override { return begun_; }

    /// Refuses the request. Within a stream that has started, it sends an error event and the stream stays
    /// incomplete. When `status` is zero, the status follows from the reason.
    bool send_refusal(refusal const& why, std::string_view detail = {}, int status = 0,
                      std::string_view header_lines = {});

    /// Closes the connection after this answer.
    void close_after() { keep_alive_ = false; }

    /// True when the connection can take the next request.
    bool keep_alive() const { return keep_alive_; }

    /// Status of the answer; zero when none was sent.
    int status() const { return status_; }
    std::string const& request_id() const { return request_id_; }

private:
    std::string compose_head(answer_head const& head, bool chunked);
    bool write_bytes(std::string_view bytes);

    wire_connection& connection_;
    bool const http_1_1_;
    bool const head_only_;
    bool keep_alive_;
    bool begun_ = false;
    bool chunked_ = false;
    bool keep_alive_after_end_ = false; ///< Value that end() gives to keep_alive_.
    int status_ = 0;
    std::string const request_id_;
    std::string chunk_; ///< Reused for each part of a stream.
};

} // namespace siskinusher
