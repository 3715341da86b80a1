package burlarch.node;

import sun.misc.Signal;

/**
 * SIGHUP, which tells that the settings file has changed. Taken before anything else of a program starts:
 * until then the signal would end the process. One that comes before there is a listener is kept for it.
 */
public final class HangupSignal {
    private static Runnable listener;
    private static boolean pending;

    private HangupSignal() {}

    /** Takes the signal from now on. */
    @SuppressWarnings("sunapi")
    public static void install() {
        Signal.handle(new Signal("HUP"), signal -> onSignal());
    }

    /** A signal has come. */
    static synchronized void onSignal() {
        if (listener == null) {
            pending = true;
        } else {
            listener.run();
        }
    }

    /** Who is told of it from now on. */
    static synchronized void setListener(Runnable told) {
        listener = told;
        if (pending) {
            pending = false;
            told.run();
        }
    }
}
