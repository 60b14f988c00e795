package org.radishspan.deployment;

/**
 * A service that targets provide.
 *
 * @param name the service
 * @param maxConnections the most connections that one target takes from all routers together
 * @param tokensPerEvent the most tokens in one event of a stream; 0 if the service runs no models
 */
public record ServiceSpec(String name, int maxConnections, int tokensPerEvent) {}
