#include "gateway/ResponseWriter.h"

#include "http/HopFields.h"
#include "http/MessageBytes.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <array>
#include <utility>

namespace lacewing {

ResponseWriter::ResponseWriter(asio::ip::tcp::socket& aSocket)
  : socket_(aSocket)
{
}

void ResponseWriter::Write(HttpMessage aResponse,
                           bool aHeadOnly,
                           Handler aHandler)
{
  aResponse.head.fields = EndToEndFields(std::move(aResponse.head.fields));
  head_ = AnswerHeadBytes(aResponse.head, aResponse.body.size());
  body_ = aHeadOnly ? std::string() : std::move(aResponse.body);
  charge_ = std::move(aResponse.charge);
  writing_ = true;
  const std::array<asio::const_buffer, 2> parts{ asio::buffer(head_),
                                                 asio::buffer(body_) };
  asio::async_write(socket_,
                    parts,
                    [this, handler = std::move(aHandler)](
                      const asio::error_code& aError, std::size_t) {
                      OnWritten();
                      handler(aError);
                    });
}

void ResponseWriter::OnWritten()
{
  writing_ = false;
  head_ = std::string();
  body_ = std::string();
  charge_.reset();
}

} // namespace lacewing
