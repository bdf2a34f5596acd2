/** @file url_text.cc Text in the targets of requests. */

#include "kernel/url_text.h"

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include "harness/property.h"
#include "harness/story.h"
#include "kernel/http_type.h"

namespace buckthornpath {

namespace {

void AnyTextIsReadAsItWasWritten() {
  const auto text =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  const auto other =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  HttpRequest request;
  request.target = MakeTarget("/list", {{"after", text}, {"prefix", other}});
  RC_ASSERT(request.Path() == "/list");
  RC_ASSERT(request.QueryParameter("after") == text);
  RC_ASSERT(request.QueryParameter("prefix") == other);
  RC_ASSERT(DecodeUrlText(EncodePath(text)) == text);
}

void ReservedCharactersAreEscaped() {
  CPPUNIT_ASSERT_EQUAL(std::string("/l?a%26=b%2B%23%25%20%2F%00~"),
                       MakeTarget("/l", {{"a&", std::string("b+#% /\0~", 8)}}));
  CPPUNIT_ASSERT_EQUAL(std::string("a/b%20%3F%2F"),
                       EncodePath("a/b ?") + "%2F");
}

void MalformedEscapesAreNoText() {
  for (const char* text : {"%", "%4", "%zz", "a%2"})
    CPPUNIT_ASSERT(!DecodeUrlText(text));
}

void PlainNamesNeedNoEscape() {
  for (const char* name : {"i-7f3a91c2", "a.b_c~d", "0"})
    CPPUNIT_ASSERT(IsPlainName(name));
  for (const char* name : {"", "a b", "a&b", "a/b", "a%", "a\r\n", "\xc3\xa9"})
    CPPUNIT_ASSERT(!IsPlainName(name));
}

const Story kStory("url_text", [] {
  return Section(
      "given text that others chose",
      {Section(
           "when it goes into the target of a request",
           {Always("any text is read as it was written",
                   AnyTextIsReadAsItWasWritten),
            Then("all but unreserved characters are escaped",
                 ReservedCharactersAreEscaped),
            Then("a malformed escape is no text", MalformedEscapesAreNoText)}),
       Section("when it is a name", {Then("it is plain if it needs no escape",
                                          PlainNamesNeedNoEscape)})});
});

}  // namespace

}  // namespace buckthornpath
