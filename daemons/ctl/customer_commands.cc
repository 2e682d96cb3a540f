#include "daemons/ctl/commands.h"

// Commands for customers, API keys and budgets.
namespace wisteriareel::ctl {
namespace {

using Stub = OperatorClient::Stub;

constexpr std::int64_t kMaxWeight = UINT32_MAX;

}  // namespace

ExitCode RunCustomer(Session* session) {
  const Arguments& arguments = session->arguments();
  const std::string id = arguments.Text("<id>");
  const auto weight = arguments.Number("--weight", 1, kMaxWeight);
  if (arguments.Has("create")) {
    v1::CreateCustomerRequest request;
    request.mutable_customer()->set_id(id);
    request.mutable_customer()->set_display_name(arguments.Text("--name"));
    request.mutable_customer()->set_weight(
        static_cast<std::uint32_t>(weight.value_or(1)));
    return session->Change(&Stub::CreateCustomer, request,
                           v1::ChangeResponse());
  }
  if (arguments.Has("update")) {
    v1::UpdateCustomerRequest request;
    request.set_customer_id(id);
    if (arguments.Has("--name")) {
      request.set_display_name(arguments.Text("--name"));
    }
    if (weight) request.set_weight(static_cast<std::uint32_t>(*weight));
    return session->Change(&Stub::UpdateCustomer, request,
                           v1::ChangeResponse());
  }
  if (arguments.Has("suspend") || arguments.Has("resume")) {
    v1::SuspendCustomerRequest request;
    request.set_customer_id(id);
    request.set_suspended(arguments.Has("suspend"));
    return session->Change(&Stub::SuspendCustomer, request,
                           v1::ChangeResponse());
  }
  if (arguments.Has("show")) {
    v1::GetCustomerRequest request;
    request.set_customer_id(id);
    return session->Show(&Stub::GetCustomer, request,
                         v1::GetCustomerResponse());
  }
  return session->List(&Stub::ListCustomers, v1::ListCustomersRequest(),
                       v1::ListCustomersResponse());
}

ExitCode RunKey(Session* session) {
  const Arguments& arguments = session->arguments();
  if (arguments.Has("create")) {
    v1::CreateKeyRequest request;
    request.set_customer_id(arguments.Text("<customer>"));
    request.set_budget_id(arguments.Text("<budget>"));
    return session->Change(&Stub::CreateKey, request, v1::CreateKeyResponse());
  }
  if (arguments.Has("rotate")) {
    v1::RotateKeyRequest request;
    request.set_key_id(arguments.Text("<key>"));
    request.set_keep_old(arguments.Has("--keep-old"));
    return session->Change(&Stub::RotateKey, request, v1::CreateKeyResponse());
  }
  if (arguments.Has("revoke")) {
    v1::RevokeKeyRequest request;
    request.set_key_id(arguments.Text("<key>"));
    return session->Change(&Stub::RevokeKey, request, v1::ChangeResponse());
  }
  v1::ListKeysRequest request;
  request.set_customer_id(arguments.Text("<customer>"));
  return session->List(&Stub::ListKeys, request, v1::ListKeysResponse());
}

ExitCode RunBudget(Session* session) {
  const Arguments& arguments = session->arguments();
  const std::string id = arguments.Text("<id>");
  if (arguments.Has("create")) {
    v1::CreateBudgetRequest request;
    request.mutable_budget()->set_id(id);
    request.mutable_budget()->set_customer_id(arguments.Text("<customer>"));
    return session->Change(&Stub::CreateBudget, request, v1::ChangeResponse());
  }
  if (arguments.Has("topup")) {
    v1::TopUpBudgetRequest request;
    request.set_budget_id(id);
    request.set_tokens(*arguments.Number("<tokens>", 1, INT64_MAX));
    return session->Change(&Stub::TopUpBudget, request,
                           v1::TopUpBudgetResponse());
  }
  if (arguments.Has("freeze") || arguments.Has("unfreeze")) {
    v1::FreezeBudgetRequest request;
    request.set_budget_id(id);
    request.set_frozen(arguments.Has("freeze"));
    return session->Change(&Stub::FreezeBudget, request, v1::ChangeResponse());
  }
  if (arguments.Has("show")) {
    v1::GetBudgetRequest request;
    request.set_budget_id(id);
    return session->Show(&Stub::GetBudget, request, v1::GetBudgetResponse());
  }
  if (arguments.Has("history")) {
    v1::ListTopUpsRequest request;
    request.set_budget_id(id);
    return session->List(&Stub::ListTopUps, request, v1::ListTopUpsResponse());
  }
  v1::ListBudgetsRequest request;
  request.set_customer_id(arguments.Text("<customer>"));
  return session->List(&Stub::ListBudgets, request, v1::ListBudgetsResponse());
}

}  // namespace wisteriareel::ctl
