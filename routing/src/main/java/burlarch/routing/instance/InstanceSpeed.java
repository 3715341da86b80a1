package burlarch.routing.instance;

/**
 * Running estimate of the speed of one instance, or of the average instance of a service. The time to the first event
 * of a request without competition is modelled as a base time plus the tokens to prefill divided by the prefill rate.
 * Base time, prefill rate and response time are exponential averages, bounded so that a single sample cannot move them
 * far.
 */
public final class InstanceSpeed {
    /** Prefill rate assumed until it has been measured. */
    private static final double INITIAL_TOKENS_PER_MILLI = 30;
    /** Base time assumed until it has been measured. */
    private static final long INITIAL_BASE_NANOS = 70_000_000L;
    /** Response time of a plain server, assumed until it has been measured. */
    private static final long INITIAL_RESPONSE_NANOS = 30_000_000L;

    private static final double MIN_TOKENS_PER_MILLI = 5;
    private static final double MAX_TOKENS_PER_MILLI = 300;
    private static final double MIN_BASE_NANOS = 1e6;
    /**
     * Gains for samples that are faster or slower than the estimate. A fast request has surely met no competition, a
     * slow one may have; so estimates improve faster than they decline.
     */
    private static final double FASTER_GAIN = 0.2;

    private static final double SLOWER_GAIN = 0.04;
    private static final double MAX_FACTOR_PER_SAMPLE = 2;
    /** Prompts shorter than this are samples of the base time. */
    private static final int SHORT_TOKENS = 400;
    /** Prompts of at least this length are samples of the prefill rate. */
    private static final int LONG_TOKENS = 1_500;

    private static final double RESPONSE_GAIN = 0.1;
    private static final double MAX_RESPONSE_FACTOR_PER_SAMPLE = 4;

    /** Samples of the prefill rate from which the instance's own estimates are used instead of its service's. */
    private static final int MIN_SAMPLES = 3;

    private final InstanceSpeed serviceAverage;
    private int samples;
    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private double baseNanos = INITIAL_BASE_NANOS;
    private double responseNanos = INITIAL_RESPONSE_NANOS;

    /** Creates the average speed of a service. */
    public InstanceSpeed() {
        this(null);
    }

    /**
     * Creates the speed of one instance. Its samples also count for the average of its service.
     *
     * @param serviceAverage average used until there are enough samples of the instance; null to use the own estimates
     *     at once
     */
    InstanceSpeed(InstanceSpeed serviceAverage) {
        this.serviceAverage = serviceAverage;
    }

    /** Returns the prefill rate in prompt tokens per nanosecond. */
    public double tokensPerNano() {
        return hasEnoughSamples() ? tokensPerMilli * 1e-6 : serviceAverage.tokensPerNano();
    }

    /** Returns the base time: the time to the first event of a request with nothing to prefill. */
    public double baseNanos() {
        return hasEnoughSamples() ? baseNanos : serviceAverage.baseNanos();
    }

    private boolean hasEnoughSamples() {
        return serviceAverage == null || samples >= MIN_SAMPLES;
    }

    /** Returns the mean time from sending to the complete response. */
    public double responseNanos() {
        return responseNanos;
    }

    /** Returns the time to prefill the given number of tokens. */
    public double prefillNanos(double tokens) {
        return tokens / tokensPerNano();
    }

    /** Records the first event of a request that met no other prompt of this router at the instance. */
    public void onFirstEvent(int prefilledTokens, double elapsedNanos) {
        if (serviceAverage != null) {
            serviceAverage.onFirstEvent(prefilledTokens, elapsedNanos);
        }
        if (prefilledTokens < SHORT_TOKENS) {
            double sampleBaseNanos = Math.max(MIN_BASE_NANOS, elapsedNanos - prefillNanos(prefilledTokens));
            baseNanos = smoothed(baseNanos, sampleBaseNanos, sampleBaseNanos < baseNanos ? FASTER_GAIN : SLOWER_GAIN);
        } else if (prefilledTokens >= LONG_TOKENS && elapsedNanos > baseNanos) {
            double sampleRate = prefilledTokens * 1e6 / (elapsedNanos - baseNanos);
            samples++;
            double gain = sampleRate >= tokensPerMilli ? FASTER_GAIN : SLOWER_GAIN;
            double smoothedRate = smoothed(tokensPerMilli, sampleRate, gain);
            tokensPerMilli = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, smoothedRate));
        }
    }

    /** Records a complete response. */
    public void onAnswered(double elapsedNanos) {
        double boundedSample = Math.min(elapsedNanos, responseNanos * MAX_RESPONSE_FACTOR_PER_SAMPLE);
        responseNanos += (boundedSample - responseNanos) * RESPONSE_GAIN;
    }

    private static double smoothed(double estimate, double observation, double gain) {
        double boundedSample =
                Math.max(estimate / MAX_FACTOR_PER_SAMPLE, Math.min(estimate * MAX_FACTOR_PER_SAMPLE, observation));
        return estimate + (boundedSample - estimate) * gain;
    }
}
