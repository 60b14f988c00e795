package org.radishspan.budget;

/**
 * Tokens of a share that are reserved for the worst case of one request.
 *
 * @param budget the name of the budget
 * @param shareId the id of the share; the reservation is void once the router has lost that share
 * @param tokens the maximum number of tokens that may be billed for the request
 */
public record Reservation(String budget, String shareId, long tokens) {}
