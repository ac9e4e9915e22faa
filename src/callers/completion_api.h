#ifndef AZURESPINDLE_CALLERS_COMPLETION_API_H
#define AZURESPINDLE_CALLERS_COMPLETION_API_H

#include "callers/completion_request.h"
#include "http/problem.h"
#include "serving/pool_manager.h"

#include <string>

namespace azurespindle::callers {

/// Returns the problem document of a request that does not pass its check.
http::Problem toProblem(const json::Faults &faults);

/// Returns the problem of a request that was proved not to have run.
http::Problem notRunProblem(int status, const std::string &title, const std::string &detail);

/// Answers with a problem document.
void respond(const http::ExchangePtr &exchange, const http::Problem &problem);

/// The completions interface: generations, their resumption, and the list of models.
class CompletionApi
{
public:
    explicit CompletionApi(serving::PoolManager &poolManager);

    /// Starts a generation, or goes on with one if there is a `Last-Event-ID`.
    void handleCompletion(CompletionKind kind, const http::ServerRequest &request,
                          const http::ExchangePtr &exchange);
    void listModels(const http::ExchangePtr &exchange) const;

private:
    void begin(CompletionKind kind, const http::ServerRequest &request,
               const http::ExchangePtr &exchange);
    void goOn(CompletionKind kind, const http::ServerRequest &request,
              const http::ExchangePtr &exchange);

    serving::PoolManager &poolManager;
};

} // namespace azurespindle::callers

#endif
