MODULES := ./core/... ./dogwoodctl/... ./dogwoodload/... ./dogwoodlocal/... ./dogwoodmuxd/... ./platform/...
LINT_VERSION := 2.15.0
LINT := bin/golangci-lint

.PHONY: check format lint vet wirenames test build deploy tools run measure slopes standalone

check: tools format lint vet wirenames standalone deploy test

tools:
	@sh script/tools.sh $(LINT_VERSION)

format: tools
	$(LINT) fmt --diff

lint: tools
	$(LINT) run $(MODULES)

vet:
	go vet $(MODULES)

standalone:
	@sh script/standalone.sh

wirenames:
	@sh script/wirenames.sh

deploy:
	@sh script/deploy.sh

test:
	@sh script/test.sh $(MODULES)

build:
	go build -o bin/ ./dogwoodctl ./dogwoodload ./dogwoodlocal ./dogwoodmuxd

run:
	go run ./dogwoodlocal

measure:
	sh script/measure.sh

slopes:
	sh script/slopes.sh
