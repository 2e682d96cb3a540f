#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "src/rpc/operator_service.h"
#include "src/rpc/operator_service_templates.h"
#include "src/rpc/operator_validation.h"
#include "src/rpc/proto_convert.h"

// Operator calls on prepaid budgets.
namespace wisteriareel {

grpc::Status OperatorService::CreateBudget(
    grpc::ServerContext* context, const v1::CreateBudgetRequest* request,
    v1::ChangeResponse* response) {
  return ServeOperate(
      context, "CreateBudget", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        const v1::Budget& budget = request->budget();
        LastReason reason;
        if (!ValidateBudget(budget, &reason) ||
            !Exists(call, {ConfigKind::kCustomer, budget.customer_id()},
                    &reason)) {
          return call.Fail(reason);
        }
        return Put(call, {request->order_id(), 0}, FromProto(budget), response);
      });
}

grpc::Status OperatorService::FreezeBudget(
    grpc::ServerContext* context, const v1::FreezeBudgetRequest* request,
    v1::ChangeResponse* response) {
  return ServeOperate(
      context, "FreezeBudget", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        ChangeOptions options{request->order_id(), std::nullopt};
        if (request->has_expected_version()) {
          options.expected_version = request->expected_version();
        }
        return EditEntry(
            call, options, {ConfigKind::kBudget, request->budget_id()},
            [&](ConfigValue* value) {
              auto* budget = std::get_if<Budget>(value);
              if (budget == nullptr) return false;
              budget->frozen = request->frozen();
              return true;
            },
            response);
      });
}

grpc::Status OperatorService::TopUpBudget(grpc::ServerContext* context,
                                          const v1::TopUpBudgetRequest* request,
                                          v1::TopUpBudgetResponse* response) {
  const bool available =
      services_.config_store != nullptr && services_.budget_admin != nullptr;
  return ServeOperate(
      context, "TopUpBudget", available, [&](OperatorCall& call) {
        LastReason reason;
        if (request->tokens() <= 0) {
          return call.Fail(Reason::kMalformed, "tokens: at least 1");
        }
        if (!Exists(call, {ConfigKind::kBudget, request->budget_id()},
                    &reason)) {
          return call.Fail(reason);
        }
        const OrderId order = OrderIdOf(request->order_id());
        const std::optional<BudgetStatus> status =
            services_.budget_admin->TopUp(BudgetId(request->budget_id()), order,
                                          Tokens(request->tokens()),
                                          call.operator_name(), call.timeout(),
                                          &reason);
        if (!status) return call.Fail(reason);
        services_.events->Write(EventId::kOperatorOrderAccepted,
                                Severity::kInfo, "budget topped up",
                                {{"operator", call.operator_name()},
                                 {"order", order.value()},
                                 {"budget", request->budget_id()},
                                 {"tokens", absl::StrCat(request->tokens())}});
        *response->mutable_status() = ToProto(*status);
        response->set_order_id(order.value());
        return grpc::Status::OK;
      });
}

grpc::Status OperatorService::GetBudget(grpc::ServerContext* context,
                                        const v1::GetBudgetRequest* request,
                                        v1::GetBudgetResponse* response) {
  const bool available =
      services_.config_store != nullptr && services_.budget_admin != nullptr;
  return ServeRead(context, "GetBudget", available, [&](OperatorCall& call) {
    grpc::Status read =
        GetEntry<Budget>(call, {ConfigKind::kBudget, request->budget_id()},
                         response, [&](const Budget& budget) {
                           *response->mutable_budget() = ToProto(budget);
                         });
    if (!read.ok()) return read;
    LastReason reason;
    const std::optional<BudgetStatus> status = services_.budget_admin->Status(
        BudgetId(request->budget_id()), call.timeout(), &reason);
    if (status) {
      *response->mutable_status() = ToProto(*status);
      return grpc::Status::OK;
    }
    // The ledger has no row for a budget before its first top-up.
    const bool never_topped_up = reason.reason() == Reason::kNotFound ||
                                 reason.reason() == Reason::kBudgetUnknown;
    if (!never_topped_up) return call.Fail(reason);
    response->mutable_status();
    return grpc::Status::OK;
  });
}

grpc::Status OperatorService::ListBudgets(grpc::ServerContext* context,
                                          const v1::ListBudgetsRequest* request,
                                          v1::ListBudgetsResponse* response) {
  return ServeRead(context, "ListBudgets", services_.config_view != nullptr,
                   [&](OperatorCall&) {
                     return ListPage<Budget>(
                         ConfigKind::kBudget, *request, response,
                         [&](const Budget& budget) {
                           return request->customer_id().empty() ||
                                  budget.customer.value() ==
                                      request->customer_id();
                         },
                         [&](const Budget& budget) {
                           *response->add_budgets() = ToProto(budget);
                         });
                   });
}

grpc::Status OperatorService::ListTopUps(grpc::ServerContext* context,
                                         const v1::ListTopUpsRequest* request,
                                         v1::ListTopUpsResponse* response) {
  return ServeRead(
      context, "ListTopUps", services_.budget_admin != nullptr,
      [&](OperatorCall& call) {
        std::size_t first = 0;
        if (!request->page_token().empty() &&
            !absl::SimpleAtoi(request->page_token(), &first)) {
          return call.Fail(Reason::kMalformed,
                           "page_token: not a page token of ListTopUps");
        }
        LastReason reason;
        const std::optional<std::vector<AcceptedTopUp>> top_ups =
            services_.budget_admin->History(BudgetId(request->budget_id()),
                                            call.timeout(), &reason);
        if (!top_ups) return call.Fail(reason);
        // Top-ups are append-only, so a position stays valid as a page token.
        first = std::min(first, top_ups->size());
        const std::size_t end =
            std::min(top_ups->size(), first + PageSizeOf(request->page_size()));
        for (std::size_t n = first; n < end; ++n) {
          *response->add_top_ups() = ToProto((*top_ups)[n]);
        }
        if (end < top_ups->size()) {
          response->set_next_page_token(absl::StrCat(end));
        }
        return grpc::Status::OK;
      });
}

}  // namespace wisteriareel
