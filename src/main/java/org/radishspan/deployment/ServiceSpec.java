package org.radishspan.deployment;

/**
 * A service that targets provide.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections that one target accepts from all routers together
 * @param tokensPerEvent the maximum number of tokens in one event of a stream; 0 if the service runs no models
 * @param memoryTokens the tokens that fit into the memory of one target, for its requests and its prompt cache together; 0 if
 *     not known
 * @param coldRequestsPerSecond the requests a second that a cold target accepts from all routers together; 0 if cold targets
 *     accept as many as others
 */
public record ServiceSpec(
        String name, int maxConnections, int tokensPerEvent, long memoryTokens, double coldRequestsPerSecond) {}
