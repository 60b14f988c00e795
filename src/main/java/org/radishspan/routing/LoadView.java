package org.radishspan.routing;

import java.util.Arrays;

/**
 * This router's view of the load, the pace and the speed of one target, from the newest report that any router received.
 *
 * <p>A report loses weight with its age. What is then expected are the means of the service, so that targets of which
 * nothing is known differ only by the requests of this router.
 */
final class LoadView {
    /**
     * Time in which a report of the pace loses half of its weight. The users' targets change their pace every 600 ms, so
     * that half of the reports are outdated after 300 ms and all after 600 ms; an exponential decay comes closest to that
     * with this half-life.
     */
    private static final double PACE_HALF_LIFE_MILLIS = 400;

    /** Time in which a report of the load loses half of its weight: about half of the time that an answer takes. */
    private static final double LOAD_HALF_LIFE_MILLIS = 1_000;

    /**
     * Time in which the measured speed of a target loses half of its weight, so that a target that was slow, and gets no
     * requests for that reason, is tried again.
     */
    private static final double SPEED_HALF_LIFE_MILLIS = 30_000;

    /** Number of latest answers, of all routers, of which the speed of a target is taken. */
    private static final double SPEED_ANSWERS = 32;

    /** Number of answers at which the measured speed of a target counts half, because single answers vary a lot. */
    private static final double SPEED_HALF_WEIGHT_ANSWERS = 2;

    /** Number of own requests of which the time of sending is kept; further ones are rarely younger than a report. */
    private static final int SENT_TIMES = 8;

    /** Time without a report of a peer after which this router no longer has the same view as others. */
    private static final long SHARED_VIEW_MILLIS = 2_000;

    /** Time that a request may need to reach the target, so that a report does not contain it yet. */
    static final long TRANSIT_MILLIS = 50;

    /** Minimum time between two kept times of reports, and their number; together they cover two seconds. */
    private static final long REPORT_TIME_MILLIS = 250;

    private static final int REPORT_TIMES = 8;

    private static final double PERCENT = 100;

    private final ServiceLoads service;
    private final DecayingMean logSpeedRatio = new DecayingMean(SPEED_ANSWERS);
    private final long[] sentAtMillis = new long[SENT_TIMES];
    private final long[] sentTokens = new long[SENT_TIMES];
    private final long[] reportTimes = new long[REPORT_TIMES];
    private int nextReportTime;
    private int nextSent;
    private long speedAtMillis;
    private boolean reported;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private int othersLoad;
    private int waiting;
    private double pace;

    LoadView(ServiceLoads service) {
        this.service = service;
        Arrays.fill(sentAtMillis, Long.MIN_VALUE / 2);
        Arrays.fill(reportTimes, Long.MIN_VALUE / 2);
    }

    ServiceLoads service() {
        return service;
    }

    /** Returns whether estimates are based on this view. */
    boolean active() {
        return service.active();
    }

    /** Returns whether peers have lately reported loads, so that other routers have the same view as this one. */
    boolean sharedView(long nowMillis) {
        return active() && nowMillis - service.peerReportAtMillis < SHARED_VIEW_MILLIS;
    }

    void onSent(long nowMillis) {
        sentAtMillis[nextSent] = nowMillis;
        sentTokens[nextSent] = 0;
        nextSent = (nextSent + 1) % SENT_TIMES;
    }

    /** Records the tokens that the request sent last occupies at most in the memory of the target. */
    void onTokensSent(long tokens) {
        sentTokens[Math.floorMod(nextSent - 1, SENT_TIMES)] = tokens;
    }

    /** Returns the tokens of this router's requests that were sent after a time, the last {@link #SENT_TIMES} of them. */
    long tokensSentAfter(long millis) {
        long sum = 0;
        for (int i = 0; i < SENT_TIMES; i++) {
            sum += sentAtMillis[i] > millis ? sentTokens[i] : 0;
        }
        return sum;
    }

    /** Returns how many of this router's requests were sent after a time; at most {@link #SENT_TIMES}. */
    int sentAfter(long millis) {
        int count = 0;
        for (long sentAt : sentAtMillis) {
            count += sentAt > millis ? 1 : 0;
        }
        return count;
    }

    /**
     * Applies a report unless a newer one is known; returns whether it was applied.
     *
     * @param inFlight the requests of this router that are in progress at the target
     */
    boolean apply(FleetLoads.Report report, long atMillis, int inFlight) {
        if (reported && atMillis <= reportedAtMillis) {
            return false;
        }
        int ownLoad = Math.max(0, inFlight - sentAfter(atMillis - TRANSIT_MILLIS));
        reported = true;
        keepReportTime(atMillis);
        reportedAtMillis = atMillis;
        waiting = report.waiting();
        othersLoad = Math.max(0, report.running() + report.waiting() - ownLoad);
        pace = report.pacePercent() / PERCENT;
        service.othersLoad.add(othersLoad);
        if (pace > 0) {
            service.pace.add(pace);
        }
        return true;
    }

    private void keepReportTime(long atMillis) {
        long latest = reportTimes[Math.floorMod(nextReportTime - 1, REPORT_TIMES)];
        if (atMillis - latest >= REPORT_TIME_MILLIS) {
            reportTimes[nextReportTime] = atMillis;
            nextReportTime = (nextReportTime + 1) % REPORT_TIMES;
        }
    }

    /** Returns the time of the last kept report at or before a time; of the first kept one if there is none. */
    long lastReportBefore(long millis) {
        long last = Long.MIN_VALUE / 2;
        long first = Long.MAX_VALUE;
        for (long atMillis : reportTimes) {
            last = atMillis <= millis ? Math.max(last, atMillis) : last;
            first = Math.min(first, atMillis);
        }
        return first > millis ? first : last;
    }

    /** Returns the time since the newest report; a very long time if there is none. */
    long ageMillis(long nowMillis) {
        return Math.max(0, nowMillis - reportedAtMillis);
    }

    private double weight(long nowMillis, double halfLifeMillis) {
        return reported ? decay(ageMillis(nowMillis), halfLifeMillis) : 0;
    }

    private static double decay(double ageMillis, double halfLifeMillis) {
        return Math.exp(-ageMillis * Math.log(2) / halfLifeMillis);
    }

    /** Returns how long work is expected to take on the target's VM now, as a ratio to the usual time. */
    double pace(long nowMillis) {
        double usual = service.pace.orElse(1);
        return pace > 0 ? usual + weight(nowMillis, PACE_HALF_LIFE_MILLIS) * (pace - usual) : usual;
    }

    long reportedAtMillis() {
        return reportedAtMillis;
    }

    /** Returns the requests of other routers that were running or waiting when the target last reported. */
    int reportedOthersLoad() {
        return othersLoad;
    }

    /** Returns the requests that waited at the target when it last reported. */
    int reportedWaiting() {
        return waiting;
    }

    /** Returns the requests of other routers that are expected to run or wait at the target now. */
    double expectedOthersLoad(long nowMillis) {
        double usual = service.othersLoad.mean();
        return usual + weight(nowMillis, LOAD_HALF_LIFE_MILLIS) * (othersLoad - usual);
    }

    /** Returns how many of the reported requests of other routers have not ended, if each takes {@code answerMillis}. */
    double remainingOthersLoad(double answerMillis, long nowMillis) {
        return othersLoad * Math.max(0, 1 - ageMillis(nowMillis) / answerMillis);
    }

    /** Returns the requests of other routers that are expected to wait at the target now. */
    double expectedWaiting(long nowMillis) {
        return weight(nowMillis, LOAD_HALF_LIFE_MILLIS) * waiting;
    }

    /** Records measured times of a target relative to those of its service. */
    void addSpeedRatio(double logRatio, double answers, long nowMillis) {
        logSpeedRatio.add(logRatio, answers);
        speedAtMillis = nowMillis;
    }

    /** Returns how long work takes at this target by its nature, apart from its pace, as a ratio to the usual time. */
    double slowness(long nowMillis) {
        double count = logSpeedRatio.count();
        if (count == 0) {
            return 1;
        }
        double weight = count
                / (count + SPEED_HALF_WEIGHT_ANSWERS)
                * decay(Math.max(0, nowMillis - speedAtMillis), SPEED_HALF_LIFE_MILLIS);
        return Math.exp(weight * logSpeedRatio.mean());
    }
}
