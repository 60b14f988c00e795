package org.radishspan.bench;

import java.util.List;

/**
 * The engines of one run of the routing benchmark, and a temporary slowdown of the first of them.
 *
 * @param name the name of the fleet in the table
 * @param slowdowns for each engine the ratio of its durations to those of the users' data sheet
 * @param slowdownFromSeconds when the slowdown of the first engine starts; 0 for no slowdown
 * @param slowdownSeconds the length of the slowdown
 * @param slowdownFactor by which the durations of the first engine are multiplied during the slowdown
 */
record RoutingFleet(
        String name, List<Double> slowdowns, int slowdownFromSeconds, int slowdownSeconds, double slowdownFactor) {}
