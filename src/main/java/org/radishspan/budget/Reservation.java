package org.radishspan.budget;

/**
 * Tokens set aside for the worst case of one request.
 *
 * @param budget the budget
 * @param shareId the share that they were taken from; the reservation is void once the router has lost that share
 * @param tokens the most that the request may be billed
 */
public record Reservation(String budget, String shareId, long tokens) {}
