# Main targets: build, demo, test, check, generate, soak, measure.
.PHONY: build demo test check fmt lint generate soak measure clean

MODULES := internal platform lentilbend standin
GOFILES = $(wildcard $(shell git ls-files -co --exclude-standard "*.go"))

build: ## Build both programs into bin/.
	go build -o bin/lentilbend ./lentilbend
	go build -o bin/standin ./standin

bin/staticcheck: tools/go.mod tools/go.sum
	GOWORK=off go -C tools build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

fmt: ## Format all Go files.
	gofmt -w $(GOFILES)

lint: bin/staticcheck ## Check formatting, vet and staticcheck.
	@test -z "$$(gofmt -l $(GOFILES))" || { gofmt -l $(GOFILES); echo 'run make fmt'; exit 1; }
	@for m in $(MODULES); do (cd $$m && go vet ./... && ../bin/staticcheck ./...) || exit 1; done

test: build ## Run all tests.
	@for m in $(MODULES); do (cd $$m && go test -count=1 ./...) || exit 1; done

check: lint test ## Run the checks that CI runs.

generate: ## Regenerate the Go code of the protobuf schemas; needs protoc.
	GOWORK=off go -C tools build -o ../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	GOWORK=off go -C tools build -o ../bin/protoc-gen-go-grpc google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc -I schema -I platform/schema --go_out=. --go_opt=module=lentilbend.example \
		--go-grpc_out=. --go-grpc_opt=module=lentilbend.example schema/*.proto platform/schema/*.proto

demo: build ## Run three entry VMs on loopback until interrupted.
	bash scripts/demo.sh

soak: ## Run the soak test with injected faults, for SOAK_SEEDS seeds from SOAK_FIRST on.
	cd standin && SOAK_SEEDS=$(or $(SOAK_SEEDS),50) SOAK_SECONDS=$(or $(SOAK_SECONDS),10) go test ./internal/soak -count=1 -timeout 60m -v

measure: build ## Run all measurements and write docs/MEASUREMENTS.md.
	bash scripts/measure.sh

clean:
	rm -rf bin
