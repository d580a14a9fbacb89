"""Requests of customers: their ids, priority and headers once the customer is known."""

import msgspec

from skylarkferry_core.customer_ids import within_customer
from skylarkferry_core.customers import Customer
from skylarkferry_core.ids import CustomerId, TurnId
from skylarkferry_core.routes import Route
from skylarkferry_gateway.messages import ClientRequest, Headers, RequestMetadata


def request_for(
    request: ClientRequest, route: Route, customer: Customer | None, headers: Headers
) -> ClientRequest:
    """Return a request as its customer's, with its effective priority and these headers."""
    if customer is None:
        return msgspec.structs.replace(request, priority=route.priority, headers=headers)
    return msgspec.structs.replace(
        request,
        metadata=metadata_within(customer.name, request.metadata),
        headers=headers,
        customer=customer,
        priority=route.priority if customer.priority is None else customer.priority,
    )


def metadata_within(customer: CustomerId, metadata: RequestMetadata) -> RequestMetadata:
    """Return metadata whose ids are looked up among those of one customer.

    Prompt parts name content that customers may share, and the run is an id within its program.
    """
    return msgspec.structs.replace(
        metadata,
        program_id=within_customer(customer, metadata.program_id),
        affinity_key=within_customer(customer, metadata.affinity_key),
        previous_turn=within_customer(customer, metadata.previous_turn),
        resumed_request=within_customer(customer, metadata.resumed_request),
        own_turn=within_customer(customer, TurnId(metadata.request_id)),
    )
