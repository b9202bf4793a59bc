#include "net/FrameCodec.h"

#include "net/MessageLimits.h"

#include <cstdint>
#include <utility>

namespace lacewing {

namespace {

using nlohmann::json;

/** Walks a frame without building it and stops where it exceeds a limit. */
class LimitChecker final : public json::json_sax_t
{
public:
  bool ExceedsLimits() const { return exceeds_; }

  bool null() override { return CountValue(); }
  bool boolean(bool) override { return CountValue(); }
  bool number_integer(number_integer_t) override { return CountValue(); }
  bool number_unsigned(number_unsigned_t) override { return CountValue(); }
  bool number_float(number_float_t, const string_t&) override
  {
    return CountValue();
  }
  bool string(string_t&) override { return CountValue(); }
  bool binary(binary_t&) override { return CountValue(); }
  bool key(string_t&) override { return CountValue(); }
  bool start_object(std::size_t) override { return Enter(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override
  {
    return false;
  }

private:
  bool CountValue()
  {
    exceeds_ = exceeds_ || ++values_ > kMaxMessageValues;
    return !exceeds_;
  }

  bool Enter()
  {
    exceeds_ = exceeds_ || ++depth_ > kMaxMessageDepth;
    return CountValue();
  }

  bool Leave()
  {
    --depth_;
    return true;
  }

  std::size_t depth_ = 0;
  std::size_t values_ = 0;
  bool exceeds_ = false;
};

} // namespace

std::string EncodeFrame(const json& aMessage)
{
  std::string frame;
  json::to_cbor(aMessage, frame);
  return frame;
}

Outcome<json> DecodeFrame(std::string_view aFrame)
{
  if (aFrame.size() > kMaxMessageBytes) {
    return Fail(ErrorKind::kTooLarge,
                "a frame has " + std::to_string(aFrame.size()) + " bytes",
                "send frames of at most 1 MiB");
  }
  LimitChecker checker;
  const bool valid =
    json::sax_parse(aFrame, &checker, json::input_format_t::cbor);
  if (checker.ExceedsLimits()) {
    return Fail(ErrorKind::kTooLarge,
                "a frame is nested too deeply or has too many values",
                "send flatter or smaller messages");
  }
  json message;
  if (valid) {
    message = json::from_cbor(aFrame, true, false);
  }
  if (!message.is_object()) {
    return Fail(ErrorKind::kInvalidMessage,
                "a frame is not one CBOR map",
                "check that the peer speaks protocol version 1");
  }
  return message;
}

} // namespace lacewing
