package burlarch.audit;

/** Takes what a party writes down. Never blocks: what can't be kept is counted as left out. */
public interface Sink {
    void asked(Asked record);

    void attempt(Attempt record);

    void told(Told record);

    void started(Started record);

    void ran(Ran record);

    /** Keeps nothing, for runs without an audit. */
    Sink NONE = new Sink() {
        @Override
        public void asked(Asked record) {
        }

        @Override
        public void attempt(Attempt record) {
        }

        @Override
        public void told(Told record) {
        }

        @Override
        public void started(Started record) {
        }

        @Override
        public void ran(Ran record) {
        }
    };
}
