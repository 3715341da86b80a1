package burlarch.routing.instance;

import burlarch.routing.planner.CostModel;

/** How fast one instance has shown to be. Running estimates that no single sample moves far. */
public final class EngineSpeed {
    private static final double MIN_RATE = 5;
    private static final double MAX_RATE = 300;
    /** Quick requests are surer to have met nobody else: an estimate improves faster than it falls. */
    private static final double GAIN_FASTER = 0.2;

    private static final double GAIN_SLOWER = 0.04;
    private static final double MAX_FACTOR_PER_SAMPLE = 2;
    /** Prompts that tell the base, and prompts that tell the rate. */
    private static final int SHORT_TOKENS = 400;

    private static final int LONG_TOKENS = 1_500;

    /** Samples from which an instance is taken at its own word. */
    private static final int MIN_SAMPLES = 3;

    private final EngineSpeed serviceAverage;
    private int samples;
    private double tokensPerMilli = CostModel.START_TOKENS_PER_MILLI;
    private double baseNanos = CostModel.START_BASE_NANOS;
    private double serviceNanos = CostModel.START_SERVICE_NANOS;

    public EngineSpeed() {
        this(null);
    }

    /** Learns for the other too, and is taken to be as fast as that until it has shown itself. */
    EngineSpeed(EngineSpeed unlessTaught) {
        this.serviceAverage = unlessTaught;
    }

    public double tokensPerNano() {
        return hasEnoughSamples() ? tokensPerMilli * 1e-6 : serviceAverage.tokensPerNano();
    }

    public double baseNanos() {
        return hasEnoughSamples() ? baseNanos : serviceAverage.baseNanos();
    }

    private boolean hasEnoughSamples() {
        return serviceAverage == null || samples >= MIN_SAMPLES;
    }

    /** Mean time of whole answers. */
    public double serviceNanos() {
        return serviceNanos;
    }

    public double prefillNanos(double tokens) {
        return tokens / tokensPerNano();
    }

    /** A first event came that had waited for no other request of ours. */
    public void onFirstEvent(int tokensRead, double elapsedNanos) {
        if (serviceAverage != null) {
            serviceAverage.onFirstEvent(tokensRead, elapsedNanos);
        }
        if (tokensRead < SHORT_TOKENS) {
            baseNanos = toward(baseNanos, Math.max(1e6, elapsedNanos - prefillNanos(tokensRead)), true);
        } else if (tokensRead >= LONG_TOKENS && elapsedNanos > baseNanos) {
            double seen = tokensRead * 1e6 / (elapsedNanos - baseNanos);
            samples++;
            double next = toward(tokensPerMilli, seen, false);
            tokensPerMilli = Math.max(MIN_RATE, Math.min(MAX_RATE, next));
        }
    }

    /** A whole answer came. */
    public void onAnswered(double elapsedNanos) {
        double sample = Math.min(elapsedNanos, serviceNanos * 4);
        serviceNanos += (sample - serviceNanos) * 0.1;
    }

    private static double toward(double estimate, double seen, boolean lowIsFast) {
        double sample = Math.max(estimate / MAX_FACTOR_PER_SAMPLE, Math.min(estimate * MAX_FACTOR_PER_SAMPLE, seen));
        boolean faster = lowIsFast == sample < estimate;
        return estimate + (sample - estimate) * (faster ? GAIN_FASTER : GAIN_SLOWER);
    }
}
