package burlarch.routing.instance;

/**
 * How fast one instance, or the average instance of a service, has proved to be. The time to the first event
 * of a request without competition is modelled as a base plus tokens to prefill divided by the prefill rate.
 * All three values are running estimates, bounded so that a single sample cannot move them far.
 */
public final class EngineSpeed {
    /** Assumed until first events have been measured. */
    private static final double INITIAL_TOKENS_PER_MILLI = 30;
    /** Time to the first event of a request with nothing to prefill, assumed until measured. */
    private static final long INITIAL_BASE_NANOS = 70_000_000L;
    /** Time to a complete response of a plain server, assumed until measured. */
    private static final long INITIAL_SERVICE_NANOS = 30_000_000L;

    private static final double MIN_TOKENS_PER_MILLI = 5;
    private static final double MAX_TOKENS_PER_MILLI = 300;
    private static final double MIN_BASE_NANOS = 1e6;
    /**
     * Gains of a sample by whether it is faster or slower than the estimate. A fast request has surely met no
     * competition, a slow one may have; so estimates improve faster than they decline.
     */
    private static final double GAIN_FASTER = 0.2;

    private static final double GAIN_SLOWER = 0.04;
    private static final double MAX_FACTOR_PER_SAMPLE = 2;
    /** Prompts shorter than this measure the base. */
    private static final int SHORT_TOKENS = 400;
    /** Prompts of at least this length measure the prefill rate. */
    private static final int LONG_TOKENS = 1_500;

    private static final double SERVICE_GAIN = 0.1;
    private static final double MAX_SERVICE_FACTOR_PER_SAMPLE = 4;

    /** Samples of the rate from which an instance's own estimates are used instead of its service's. */
    private static final int MIN_SAMPLES = 3;

    private final EngineSpeed serviceAverage;
    private int samples;
    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private double baseNanos = INITIAL_BASE_NANOS;
    private double serviceNanos = INITIAL_SERVICE_NANOS;

    /** The average of a service. */
    public EngineSpeed() {
        this(null);
    }

    /**
     * The speed of one instance. Its samples go to the average of its service too.
     *
     * @param serviceAverage used until there are enough samples of the instance; null to use its own at once
     */
    EngineSpeed(EngineSpeed serviceAverage) {
        this.serviceAverage = serviceAverage;
    }

    /** Prompt tokens prefilled in a nanosecond. */
    public double tokensPerNano() {
        return hasEnoughSamples() ? tokensPerMilli * 1e-6 : serviceAverage.tokensPerNano();
    }

    /** Time to the first event of a request with nothing to prefill. */
    public double baseNanos() {
        return hasEnoughSamples() ? baseNanos : serviceAverage.baseNanos();
    }

    private boolean hasEnoughSamples() {
        return serviceAverage == null || samples >= MIN_SAMPLES;
    }

    /** Mean time from sending to the complete response. */
    public double serviceNanos() {
        return serviceNanos;
    }

    /** Time to prefill so many tokens. */
    public double prefillNanos(double tokens) {
        return tokens / tokensPerNano();
    }

    /** The first event arrived of a request that had met no other prompt of this router there. */
    public void onFirstEvent(int prefilledTokens, double elapsedNanos) {
        if (serviceAverage != null) {
            serviceAverage.onFirstEvent(prefilledTokens, elapsedNanos);
        }
        if (prefilledTokens < SHORT_TOKENS) {
            double sampleNanos = Math.max(MIN_BASE_NANOS, elapsedNanos - prefillNanos(prefilledTokens));
            baseNanos = next(baseNanos, sampleNanos, sampleNanos < baseNanos ? GAIN_FASTER : GAIN_SLOWER);
        } else if (prefilledTokens >= LONG_TOKENS && elapsedNanos > baseNanos) {
            double sampleRate = prefilledTokens * 1e6 / (elapsedNanos - baseNanos);
            samples++;
            double gain = sampleRate >= tokensPerMilli ? GAIN_FASTER : GAIN_SLOWER;
            double nextRate = next(tokensPerMilli, sampleRate, gain);
            tokensPerMilli = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, nextRate));
        }
    }

    /** A complete response arrived. */
    public void onAnswered(double elapsedNanos) {
        double sample = Math.min(elapsedNanos, serviceNanos * MAX_SERVICE_FACTOR_PER_SAMPLE);
        serviceNanos += (sample - serviceNanos) * SERVICE_GAIN;
    }

    private static double next(double estimate, double observed, double gain) {
        double sample =
                Math.max(estimate / MAX_FACTOR_PER_SAMPLE, Math.min(estimate * MAX_FACTOR_PER_SAMPLE, observed));
        return estimate + (sample - estimate) * gain;
    }
}
