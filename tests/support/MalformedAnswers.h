#ifndef TESTS_SUPPORT_MALFORMEDANSWERS_H
#define TESTS_SUPPORT_MALFORMEDANSWERS_H

#include "support/NamedAnswer.h"

#include <vector>

namespace lacewing {

/** Answers that are none by RFC 9112, each with one fault. */
inline std::vector<NamedAnswer> MalformedAnswers()
{
  const std::string body = "Content-Length: 5\r\n\r\n01234";
  std::vector<NamedAnswer> answers;
  for (const char* status :
       { "000", "099", "101", "20", "2", "0200", "2000", "600", "999" }) {
    answers.push_back({ std::string("status ") + status,
                        "HTTP/1.1 " + std::string(status) + " OK\r\n" + body });
  }
  for (const char* version :
       { "HTTP/0.9", "HTTP/3.1", "HTTP/11.1", "HTTP/1" }) {
    answers.push_back({ std::string("version ") + version,
                        std::string(version) + " 200 OK\r\n" + body });
  }
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& line : {
         std::string("X Foo: a"),
         std::string("X-Foo : a"),
         std::string("X-Foo\t: a"),
         std::string("X\x07-Foo: a"),
         std::string("X\0Foo: a", 8),
         std::string("X\x7f: a"),
         std::string("X\"Foo\": a"),
         std::string("X\xe9: a"),
         std::string(": a"),
         std::string("X-Foo"),
         std::string(" X-Foo: a"),
         std::string("X-Foo: a\r\n b"),
         std::string("X-Foo: a\x07"),
         std::string("Content-Encoding : gzip"),
       }) {
    answers.push_back({ "field " + line, ok + line + "\r\n" + body });
  }
  answers.push_back(
    { "blank behind Content-Length", ok + "Content-Length : 5\r\n\r\n01234" });
  const std::string chunks = "\r\n5\r\n01234\r\n0\r\n\r\n";
  answers.push_back({ "blank behind Transfer-Encoding",
                      ok + "Transfer-Encoding : chunked\r\n" + chunks });
  for (const char* coding : { "gzip",
                              "chunked, gzip",
                              "gzip, chunked",
                              "chunked, chunked",
                              "chunked\r\nTransfer-Encoding: chunked",
                              "xchunked",
                              "" }) {
    answers.push_back(
      { std::string("coding ") + coding,
        ok + "Transfer-Encoding: " + coding + "\r\n" + chunks });
  }
  answers.push_back(
    { "length and chunks",
      ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" + chunks });
  answers.push_back({ "two lengths", ok + "Content-Length: 4\r\n" + body });
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  for (const char* framing : { "5\r\n01234XX0\r\n\r\n",
                               "5\r\n012340\r\n\r\n",
                               "5\r\n01234\rX0\r\n\r\n",
                               "5\rX01234\r\n0\r\n\r\n",
                               "5\r\n01234\r\n0\rX\r\n",
                               "5\r\n01234\r\n0\r\n\rX",
                               "5\r\n01234\r\n0\r\nT: t\rX\r\n" }) {
    answers.push_back({ std::string("chunks ") + framing, chunked + framing });
  }
  answers.push_back({ "end of head", ok + "Content-Length: 5\r\n\rX01234" });
  answers.push_back({ "end of status line", "HTTP/1.1 200 OK\rX" + body });
  for (const char* line : { "T : t", "T", "T: t\r\nU U: u" }) {
    answers.push_back({ std::string("trailer ") + line,
                        ok +
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "5\r\n01234\r\n0\r\n" +
                          line + "\r\n\r\n" });
  }
  return answers;
}

} // namespace lacewing

#endif // TESTS_SUPPORT_MALFORMEDANSWERS_H
