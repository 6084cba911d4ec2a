#include "LibTraffic/ChatRequest.h"
#include "LibTraffic/Json.h"
#include <Poco/JSON/Array.h>

namespace ferry::traffic {

/// Output tokens assumed for a request without max_tokens.
static constexpr uint64_t DefaultOutputTokens = 256;
/// Largest accepted max_tokens.
static constexpr uint64_t MaxOutputTokensLimit = 1'000'000;
/// Largest number of messages in one request.
static constexpr size_t MaxMessages = 10'000;

/// Appends one message. The separators keep different lists of messages from
/// giving the same prompt.
static void appendMessage(std::string &Prompt, const std::string &Role,
                          const std::string &Content) {
  Prompt += Role;
  Prompt += '\x1f';
  Prompt += Content;
  Prompt += '\x1e';
}

AnswerResult<ChatRequest> tryParseChatRequest(const std::string &Body,
                                              uint64_t MaxPromptBytes) {
  auto Object = tryParseObject(Body);
  if (!Object)
    return makeError(Object.error());
  ChatRequest Request;
  auto Model = stringMember(**Object, "model");
  if (!Model || Model->empty())
    return badMember("model");
  Request.Model = {*Model};
  if ((*Object)->has("stream")) {
    auto Stream = flagMember(**Object, "stream");
    if (!Stream)
      return badMember("stream");
    Request.Form = *Stream ? AnswerForm::Events : AnswerForm::Whole;
  }
  Request.MaxOutputTokens = DefaultOutputTokens;
  if ((*Object)->has("max_tokens")) {
    auto Tokens = numberMember(**Object, "max_tokens", MaxOutputTokensLimit);
    if (!Tokens || *Tokens == 0)
      return badMember("max_tokens");
    Request.MaxOutputTokens = *Tokens;
  }
  Poco::JSON::Array::Ptr Messages = (*Object)->getArray("messages");
  if (!Messages || Messages->size() == 0 || Messages->size() > MaxMessages)
    return badMember("messages");
  for (size_t I = 0; I < Messages->size(); ++I) {
    auto Message = Messages->getObject(static_cast<unsigned>(I));
    if (!Message)
      return badMember("messages");
    auto Role = stringMember(*Message, "role");
    auto Content = stringMember(*Message, "content");
    if (!Role || !Content)
      return badMember("messages");
    appendMessage(Request.Prompt, *Role, *Content);
    if (Request.Prompt.size() > MaxPromptBytes)
      return makeError(ErrorAnswer{AnswerError::TooLarge,
                                   "the prompt may have at most " +
                                       std::to_string(MaxPromptBytes) +
                                       " bytes"});
  }
  return Request;
}

} // namespace ferry::traffic
