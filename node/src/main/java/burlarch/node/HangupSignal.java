package burlarch.node;

import sun.misc.Signal;

/**
 * SIGHUP, by which an operator says that the settings file has changed. A program installs the handler before anything
 * else, because the signal would end the process without it. A signal that arrives before there is a listener is
 * pending for it. Any thread; the listener runs on the signal's thread.
 */
public final class HangupSignal {
    private static Runnable listener;
    private static boolean pending;

    private HangupSignal() {}

    /** Handles the signal from now on, so that it does not end the process. */
    @SuppressWarnings("sunapi")
    public static void install() {
        Signal.handle(new Signal("HUP"), signal -> onSignal());
    }

    /** A signal arrived. */
    static synchronized void onSignal() {
        if (listener == null) {
            pending = true;
        } else {
            listener.run();
        }
    }

    /** Sets the listener and runs it at once if a signal is pending. */
    static synchronized void setListener(Runnable newListener) {
        listener = newListener;
        if (pending) {
            pending = false;
            newListener.run();
        }
    }
}
