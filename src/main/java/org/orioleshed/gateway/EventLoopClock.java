package org.orioleshed.gateway;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/** Records the polls of an event loop; for a group of one loop, and used on that loop only. */
final class EventLoopClock implements IoHandlerFactory {
    private final IoHandlerFactory delegate;
    private final LoopLag lag = new LoopLag(System.nanoTime());

    EventLoopClock(IoHandlerFactory delegate) {
        this.delegate = delegate;
    }

    /** Returns how late the event loop is. */
    LoopLag lag() {
        return lag;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new TimedHandler(delegate.newHandler(executor));
    }

    private final class TimedHandler implements IoHandler {
        private final IoHandler handler;
        private final TimedContext timedContext = new TimedContext();

        TimedHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public int run(IoHandlerContext context) {
            long nowNanos = System.nanoTime();
            lag.pollBegins(nowNanos, context.canBlock() ? context.delayNanos(nowNanos) : 0);
            timedContext.context = context;
            return handler.run(timedContext);
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }

    private final class TimedContext implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return context.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        /** Netty calls this after each poll, before it handles the channels that are ready. */
        @Override
        public boolean shouldReportActiveIoTime() {
            lag.pollEnds(System.nanoTime());
            return context.shouldReportActiveIoTime();
        }
    }
}
