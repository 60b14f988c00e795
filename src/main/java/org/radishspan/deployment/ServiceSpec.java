package org.radishspan.deployment;

/**
 * A service that targets provide.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections that one target accepts from all routers together
 * @param tokensPerEvent the maximum number of tokens in one event of a stream; 0 if the service runs no models
 */
public record ServiceSpec(String name, int maxConnections, int tokensPerEvent) {}
