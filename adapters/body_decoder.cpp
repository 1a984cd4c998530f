#include "adapters/body_decoder.hpp"

#include <algorithm>
#include <charconv>

namespace siskinusher
{

namespace
{

// A chunk size line has at most 16 hexadecimal digits and a short extension.
constexpr std::size_t chunk_line_limit = 256;
constexpr std::size_t trailer_limit = 4096;

} // namespace

body_decoder::body_decoder(body_framing framing) : framing_(framing), remaining_(framing.length) {}

decode_status body_decoder::decode(std::string_view bytes, std::size_t& used, std::string& out)
{
    used = 0;
    if (complete_)
    {
        return decode_status::complete;
    }
    decode_status status = decode_status::more;
    switch (framing_.kind)
    {
    case body_kind::none:
        status = decode_status::complete;
        break;
    case body_kind::length:
        append_content(bytes, used, out);
        status = remaining_ == 0 ? decode_status::complete : decode_status::more;
        break;
    case body_kind::until_close:
        out.append(bytes);
        used = bytes.size();
        break;
    case body_kind::chunked:
        status = decode_chunks(bytes, used, out);
        break;
    }
    complete_ = status == decode_status::complete;
    return status;
}

void body_decoder::append_content(std::string_view bytes, std::size_t& used, std::string& out)
{
    auto const count = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size() - used));
    out.append(bytes.substr(used, count));
    used += count;
    remaining_ -= count;
}

decode_status body_decoder::decode_chunks(std::string_view bytes, std::size_t& used, std::string& out)
{
    for (;;)
    {
        if (phase_ == chunk_phase::data)
        {
            append_content(bytes, used, out);
            if (remaining_ > 0)
            {
                return decode_status::more;
            }
            phase_ = chunk_phase::data_end;
        }
        std::string_view const rest = bytes.substr(used);
        std::size_t const end = rest.find("\r\n");
        if (end == std::string_view::npos)
        {
            return rest.size() > chunk_line_limit ? decode_status::malformed : decode_status::more;
        }
        std::string_view line = rest.substr(0, end);
        if (phase_ == chunk_phase::data_end)
        {
            if (!line.empty())
            {
                return decode_status::malformed;
            }
            used += 2;
            phase_ = chunk_phase::size_line;
            continue;
        }
        if (phase_ == chunk_phase::trailer)
        {
            trailer_bytes_ += end + 2;
            used += end + 2;
            if (line.empty())
            {
                return decode_status::complete;
            }
            if (trailer_bytes_ > trailer_limit)
            {
                return decode_status::malformed;
            }
            continue;
        }
        line = line.substr(0, line.find_first_of("; \t"));
        auto const parsed = std::from_chars(line.data(), line.data() + line.size(), remaining_, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != line.data() + line.size())
        {
            return decode_status::malformed;
        }
        used += end + 2;
        phase_ = remaining_ == 0 ? chunk_phase::trailer : chunk_phase::data;
    }
}

} // namespace siskinusher
